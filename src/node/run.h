#pragma once

#include <csignal>
#include <functional>
#include <string>

#include "config/config.h"
#include "net/net.h"
#include "node/settings_watch.h"

namespace ibisvalve::node {

/// Runs `process` until a planned stop, which SIGTERM or SIGINT starts, has
/// completed. Reloads the settings file `path`, whose current content is
/// `settings`, when it changes and on SIGHUP.
template <typename Process>
void RunUntilStopped(net::EventLoop& loop,
                     Process& process,
                     const std::string& path,
                     const config::Settings& settings) {
  const auto stop = [&] { process.Stop([&loop] { loop.Stop(); }); };
  loop.OnSignal(SIGTERM, stop);
  loop.OnSignal(SIGINT, stop);
  SettingsWatch watch(
      loop, path, settings,
      [&](const config::Settings& changed) { process.Reload(changed); });
  loop.OnSignal(SIGHUP, [&] { watch.Check(); });
  loop.Run();
}

/// Runs `body` and returns its exit status. An InvalidInput is printed to
/// standard error and returns 2; any other std::exception is logged as
/// kStartRefused and returns 1.
int RunGuarded(const std::function<int()>& body);

}  // namespace ibisvalve::node
