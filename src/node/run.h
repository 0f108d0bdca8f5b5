#pragma once

#include <csignal>
#include <functional>
#include <string>

#include "config/config.h"
#include "net/net.h"
#include "node/settings_watch.h"

namespace ibisvalve::node {

/// Runs `process` until a planned stop, asked for by SIGTERM or SIGINT, has
/// ended. The settings file `path`, which holds `settings`, is read again when
/// it changes and on SIGHUP.
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

/// Runs `body` and returns its exit status; what it throws is told, on standard
/// error where the input is at fault, and becomes a status.
int RunGuarded(const std::function<int()>& body);

}  // namespace ibisvalve::node
