#include <gflags/gflags.h>
#include <glog/logging.h>

#include <csignal>
#include <cstdio>
#include <exception>
#include <optional>
#include <string>

#include "base/base.h"
#include "bench/common/duration_parser.h"
#include "bench/target/target_server.h"
#include "net/net.h"

DEFINE_string(listen,
              "127.0.0.1:0",
              "HTTP listen address; port 0 selects a free port");
DEFINE_string(name, "target", "target name in each response");
DEFINE_uint32(slots,
              20,
              "requests that run concurrently; further ones are queued");
DEFINE_string(service_time, "5ms", "mean service time");
DEFINE_string(distribution, "fixed", "fixed, exponential or lognormal");
DEFINE_double(noise_factor,
              1,
              "factor on service times that start in a noisy period");
DEFINE_double(noise_share,
              0,
              "fraction of time that is noisy, from 0 to below 1");
DEFINE_string(noise_length, "50ms", "mean length of a noisy period");
DEFINE_double(straggler, 1, "factor on every service time");
DEFINE_bool(fail_fast, false, "answer every request with 500 immediately");
DEFINE_string(cold_start,
              "0s",
              "time from start until the cold-start factor has fallen to 1");
DEFINE_double(cold_factor, 10, "factor on service times at start");
DEFINE_string(crash_on,
              "",
              "path whose run terminates the process immediately");
DEFINE_string(run_log,
              "",
              "file that gets a line at each start and end of a run");
DEFINE_uint64(seed, 1, "random seed for service times and noise");
DEFINE_string(announce, "", "admin address of the node of this target");

namespace ibisvalve::bench {
namespace {

// Builds the settings from the flags. Prints an error and returns nullopt if a
// flag is invalid.
std::optional<TargetSettings> SettingsFromFlags() {
  TargetSettings settings;
  const auto listen = world::ParseEndpoint(FLAGS_listen);
  const auto distribution = ParseDistribution(FLAGS_distribution);
  const auto service_time = ParseDuration(FLAGS_service_time);
  const auto noise_length = ParseDuration(FLAGS_noise_length);
  const auto cold_start = ParseDuration(FLAGS_cold_start);
  if (!listen || !distribution || !service_time || !noise_length ||
      !cold_start || FLAGS_slots == 0 || FLAGS_noise_share < 0 ||
      FLAGS_noise_share >= 1) {
    std::fprintf(
        stderr,
        "faketarget: invalid flag: addresses must be ip:port, durations "
        "need a unit (us, ms, s), shares must be below 1; see "
        "--help\n");
    return std::nullopt;
  }
  settings.listen = *listen;
  settings.name = FLAGS_name;
  settings.slots = FLAGS_slots;
  settings.service.mean = *service_time;
  settings.service.distribution = *distribution;
  settings.service.straggler = FLAGS_straggler;
  settings.service.noise_factor = FLAGS_noise_factor;
  settings.service.noise_share = FLAGS_noise_share;
  settings.service.noise_length = *noise_length;
  settings.service.cold_factor = FLAGS_cold_factor;
  settings.service.cold_length = *cold_start;
  settings.fail_fast = FLAGS_fail_fast;
  settings.crash_on = FLAGS_crash_on;
  settings.run_log = FLAGS_run_log;
  settings.seed = FLAGS_seed;
  if (!FLAGS_announce.empty()) {
    settings.announce = world::ParseEndpoint(FLAGS_announce);
    if (!settings.announce) {
      std::fprintf(stderr, "faketarget: --announce must be ip:port\n");
      return std::nullopt;
    }
  }
  return settings;
}

int RunTarget() {
  const std::optional<TargetSettings> settings = SettingsFromFlags();
  if (!settings) {
    return 2;
  }
  net::EventLoop loop;
  TargetServer server(loop, *settings);
  std::printf("listening %s\n", world::ToString(server.local()).c_str());
  std::fflush(stdout);
  for (const int signal : {SIGTERM, SIGINT}) {
    loop.OnSignal(signal, [&] { server.Stop([&loop] { loop.Stop(); }); });
  }
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace ibisvalve::bench

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "fake target: an HTTP server with simulated service times");
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  try {
    return ibisvalve::bench::RunTarget();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "faketarget: %s\n", error.what());
    return 1;
  }
}
