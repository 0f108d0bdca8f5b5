#include <gflags/gflags.h>
#include <glog/logging.h>

#include <csignal>
#include <exception>
#include <iostream>
#include <memory>

#include "config/config.h"
#include "node/node.h"

DEFINE_string(settings, "", "the file with this process's settings (YAML)");
DEFINE_bool(check, false, "check the settings, say what is wrong, and end");

namespace {

using namespace ibisvalve;  // NOLINT(google-build-using-namespace)

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

// Runs until a planned stop has ended.
void RunNode(net::EventLoop& loop, const config::Settings& settings) {
  node::NodeProcess process(loop, settings);
  const auto stop = [&] { process.Stop([&loop] { loop.Stop(); }); };
  loop.OnSignal(SIGTERM, stop);
  loop.OnSignal(SIGINT, stop);
  node::SettingsWatch watch(
      loop, FLAGS_settings, settings,
      [&](const config::Settings& changed) { process.Reload(changed); });
  loop.OnSignal(SIGHUP, [&] { watch.Check(); });
  loop.Run();
}

void RunKeeper(net::EventLoop& loop, const config::Settings& settings) {
  node::KeeperProcess process(loop, settings);
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&loop] { loop.Stop(); });
  node::SettingsWatch watch(
      loop, FLAGS_settings, settings,
      [&](const config::Settings& changed) { process.Reload(changed); });
  loop.OnSignal(SIGHUP, [&] { watch.Check(); });
  loop.Run();
}

int Run() {
  const config::Settings settings = node::LoadSettings(FLAGS_settings);
  if (FLAGS_check) {
    std::cout << FLAGS_settings << ": no faults\n";
    return kExitOk;
  }
  net::EventLoop loop;
  if (settings.role == config::Role::kKeeper) {
    RunKeeper(loop, settings);
  } else {
    RunNode(loop, settings);
  }
  return kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "runs one node or keeper: ibisvalved --settings FILE");
  gflags::SetVersionString("0.1.0");
  FLAGS_logtostderr = true;  // glog's own flag; the command line goes before it
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  google::InitGoogleLogging(argv[0]);
  if (FLAGS_settings.empty()) {
    std::cerr << "usage: ibisvalved --settings FILE [--check]\n";
    return kExitUsage;
  }
  try {
    return Run();
  } catch (const InvalidInput& error) {
    std::cerr << error.what() << "\n";
    return kExitUsage;
  } catch (const std::exception& error) {
    LogEvent(node::kStartRefused, {{"why", error.what()}});
    return kExitFailed;
  }
}
