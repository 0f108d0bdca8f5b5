#pragma once

#include <functional>
#include <string>

#include "config/config.h"
#include "net/net.h"

namespace ibisvalve::node {

/// Reloads the settings file of a process when it changes. A file with errors
/// is logged, once until the error changes, and leaves the current settings in
/// place.
class SettingsWatch {
 public:
  /// Watches `path`, whose current content is `current`. Calls `on_changed` on
  /// the loop thread when the settings differ from the previous ones.
  SettingsWatch(net::EventLoop& loop,
                std::string path,
                const config::Settings& current,
                std::function<void(const config::Settings&)> on_changed);

  /// Checks the file immediately, for example after SIGHUP.
  void Check();

 private:
  std::string path_;
  config::Settings current_;
  std::string last_error_;  // suppresses repeated log lines
  std::function<void(const config::Settings&)> on_changed_;
  net::Timer timer_;
};

/// Reads and parses the settings file `path`. Throws SystemError or
/// InvalidInput.
config::Settings LoadSettings(const std::string& path);

}  // namespace ibisvalve::node
