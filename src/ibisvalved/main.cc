#include <gflags/gflags.h>
#include <glog/logging.h>

#include <iostream>

#include "config/config.h"
#include "node/node.h"

DEFINE_string(settings, "", "path of the YAML settings file of this process");
DEFINE_bool(check,
            false,
            "validate the settings file, print its errors and exit");

namespace {

using namespace ibisvalve;  // NOLINT(google-build-using-namespace)

constexpr int kExitOk = 0;
constexpr int kExitUsage = 2;

int Run() {
  const config::Settings settings = node::LoadSettings(FLAGS_settings);
  if (FLAGS_check) {
    std::cout << FLAGS_settings << ": no faults\n";
    return kExitOk;
  }
  net::EventLoop loop;
  if (settings.role == config::Role::kKeeper) {
    node::KeeperProcess process(loop, settings);
    node::RunUntilStopped(loop, process, FLAGS_settings, settings);
  } else {
    node::NodeProcess process(loop, settings);
    node::RunUntilStopped(loop, process, FLAGS_settings, settings);
  }
  return kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "runs one node or keeper: ibisvalved --settings FILE");
  gflags::SetVersionString("0.1.0");
  FLAGS_logtostderr = true;  // glog's flag; the command line can override it
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  google::InitGoogleLogging(argv[0]);
  if (FLAGS_settings.empty()) {
    std::cerr << "usage: ibisvalved --settings FILE [--check]\n";
    return kExitUsage;
  }
  return node::RunGuarded(Run);
}
