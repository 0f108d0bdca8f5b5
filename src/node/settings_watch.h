#pragma once

#include <functional>
#include <string>

#include "config/config.h"
#include "net/net.h"

namespace ibisvalve::node {

/// Reads a process's settings file again when it has changed. Settings with
/// faults are reported and change nothing.
class SettingsWatch {
 public:
  /// Watches `path`, whose present content holds `present`. `on_changed` is
  /// called from the loop with settings that differ.
  SettingsWatch(net::EventLoop& loop,
                std::string path,
                const config::Settings& present,
                std::function<void(const config::Settings&)> on_changed);

  /// Looks at the file now, as on a signal.
  void Check();

 private:
  std::string path_;
  config::Settings present_;
  std::string refused_;  // content that was reported already
  std::function<void(const config::Settings&)> on_changed_;
  net::Timer timer_;
};

/// Reads the settings file `path`. Throws SystemError or InvalidInput.
config::Settings LoadSettings(const std::string& path);

}  // namespace ibisvalve::node
