#include <gflags/gflags.h>
#include <glog/logging.h>

#include <cstdio>
#include <exception>
#include <fstream>
#include <optional>
#include <sstream>
#include <string>

#include "bench/common/duration_parser.h"
#include "bench/load/load_generator.h"
#include "net/net.h"

DEFINE_string(endpoints, "", "ip:port of each ingress, comma-separated");
DEFINE_double(rate, 100, "requests per second, total over all endpoints");
DEFINE_string(duration, "10s", "length of the schedule, at most 600s");
DEFINE_uint64(requests, 1'000'000, "maximum number of requests");
DEFINE_string(deadline,
              "1s",
              "deadline that requests carry and are measured against");
DEFINE_uint64(connections, 200, "maximum number of connections per endpoint");
DEFINE_uint64(seed, 1, "random seed of the schedule");
DEFINE_string(services,
              "",
              "name[:weight[:share of Bookings]], comma-separated");
DEFINE_string(name, "load", "prefix of the request names");
DEFINE_string(json, "", "file for the report as JSON; - means stdout");

namespace ibisvalve::bench {
namespace {

constexpr Duration kLongest = std::chrono::seconds(600);
constexpr int kUsageError = 2;
constexpr int kWrongAnswers = 3;

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  std::string part;
  while (std::getline(stream, part, separator)) {
    parts.push_back(part);
  }
  return parts;
}

// Builds the settings from the flags; returns nullopt if a flag is invalid.
std::optional<LoadSettings> SettingsFromFlags() {
  LoadSettings settings;
  for (const std::string& text : Split(FLAGS_endpoints, ',')) {
    const auto endpoint = world::ParseEndpoint(text);
    if (!endpoint) {
      return std::nullopt;
    }
    settings.endpoints.push_back(*endpoint);
  }
  const auto duration = ParseDuration(FLAGS_duration);
  const auto deadline = ParseDuration(FLAGS_deadline);
  if (settings.endpoints.empty() || !duration || *duration > kLongest ||
      !deadline || FLAGS_rate <= 0 || FLAGS_connections == 0) {
    return std::nullopt;
  }
  settings.duration = *duration;
  settings.deadline = *deadline;
  settings.rate = FLAGS_rate;
  settings.max_requests = FLAGS_requests;
  settings.connections = FLAGS_connections;
  settings.seed = FLAGS_seed;
  settings.name = FLAGS_name;
  if (!FLAGS_services.empty()) {
    settings.mix.clear();
  }
  for (const std::string& text : Split(FLAGS_services, ',')) {
    const auto parts = Split(text, ':');
    RequestMix mix;
    mix.service = parts[0];
    mix.weight = parts.size() > 1 ? std::atof(parts[1].c_str()) : 1;
    mix.booking_share = parts.size() > 2 ? std::atof(parts[2].c_str()) : 0;
    settings.mix.push_back(mix);
  }
  return settings;
}

int RunLoad() {
  const std::optional<LoadSettings> settings = SettingsFromFlags();
  if (!settings) {
    std::fprintf(stderr, "loadtool: invalid or missing flag; see --help\n");
    return kUsageError;
  }
  net::EventLoop loop;
  LoadReport report;
  LoadGenerator generator(loop, *settings, [&](const LoadReport& ended) {
    report = ended;
    loop.Stop();
  });
  loop.Run();
  if (FLAGS_json == "-") {
    std::printf("%s\n", ToJson(report).c_str());
  } else {
    std::printf("%s", ToTable(report).c_str());
    if (!FLAGS_json.empty()) {
      std::ofstream(FLAGS_json) << ToJson(report) << "\n";
    }
  }
  return report.swapped == 0 ? 0 : kWrongAnswers;
}

}  // namespace
}  // namespace ibisvalve::bench

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "load generator: sends requests on an open-loop schedule");
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  try {
    return ibisvalve::bench::RunLoad();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "loadtool: %s\n", error.what());
    return 1;
  }
}
