#include <gflags/gflags.h>
#include <glog/logging.h>
#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include "bench/gossip/gossip_fleet.h"

DEFINE_uint32(nodes, 100, "number of nodes in the fleet");
DEFINE_uint32(zones, 4, "number of availability zones");
DEFINE_uint32(rounds, 5, "number of timed joins, drains and deaths");
DEFINE_double(loss, 0, "probability that a datagram is lost");
DEFINE_uint64(seed, 1, "random seed of the fleet and its network");

namespace ibisvalve::bench {
namespace {

using std::chrono::seconds;
using world::Endpoint;
using world::Member;
using world::MemberState;
using world::TargetState;

constexpr Duration kIdle = seconds(60);
constexpr Duration kLimit = seconds(300);

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) *
             1e-6;
}

// Returns the resident memory of this process in KiB, or 0 if it is unknown.
uint64_t ResidentKib() {
  std::ifstream status("/proc/self/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmRSS:")) {
      return std::stoull(line.substr(6));
    }
  }
  return 0;
}

// Measures the times until changes are known to all nodes, and the traffic, of
// one fleet.
class GossipBench {
 public:
  GossipBench()
      : fleet_(FLAGS_seed,
               {FLAGS_loss, 0, std::chrono::milliseconds(1),
                std::chrono::milliseconds(2)}) {}

  int Run() {
    const uint64_t memory = ResidentKib();
    fleet_.StartMany(FLAGS_nodes, FLAGS_zones);
    if (!MeasureTime("start together", [&] { return fleet_.Converged(); })) {
      return 1;
    }
    std::printf("memory %.1f KiB per node\n",
                static_cast<double>(ResidentKib() - memory) / FLAGS_nodes);
    fleet_.Run(kIdle);
    MeasureTraffic("idle", [&] { fleet_.Run(kIdle); });
    MeasureTraffic("join, drain and death", [&] { Churn(); });
    std::printf("largest datagram %zu bytes\n", fleet_.largest_datagram());
    return failed_ ? 1 : 0;
  }

 private:
  void Churn() {
    for (uint32_t round = 0; round < FLAGS_rounds; ++round) {
      membership::MembershipSettings settings;
      settings.seeds = {fleet_.At(0).self().gossip, fleet_.At(1).self().gossip};
      const Member joiner =
          GossipFleet::MakeMember(FLAGS_nodes + round, FLAGS_zones);
      fleet_.Start(joiner, settings);
      MeasureTime("join", [&] { return fleet_.Converged(); });
      fleet_.Perform(joiner.gossip,
                     fleet_.At(joiner.gossip)
                         .SetTarget(joiner.service, TargetState::kDraining,
                                    joiner.slots, fleet_.now()));
      MeasureTime("drain", [&] {
        return std::all_of(
            fleet_.nodes().begin(), fleet_.nodes().end(),
            [&](const auto& node) {
              return node.second->table().Find(joiner.id)->target ==
                     TargetState::kDraining;
            });
      });
      fleet_.Kill(joiner.gossip);
      MeasureTime("death",
                  [&] { return fleet_.AllSee(joiner.id, MemberState::kDead); });
    }
  }

  bool MeasureTime(const char* what, const std::function<bool()>& done) {
    const auto took = fleet_.RunUntil(done, kLimit);
    if (took) {
      std::printf("%s: known by all after %.1f s\n", what, Seconds(*took));
    } else {
      std::printf("%s: NOT known by all after %.0f s\n", what, Seconds(kLimit));
      failed_ = true;
    }
    return took.has_value();
  }

  void MeasureTraffic(const char* what, const std::function<void()>& action) {
    std::map<Endpoint, std::pair<uint64_t, uint64_t>> before;
    for (const auto& [endpoint, node] : fleet_.nodes()) {
      before[endpoint] = {node->sent_bytes(), node->sent_datagrams()};
    }
    const Time start = fleet_.now();
    const double cpu = CpuSeconds();
    action();
    const double span = Seconds(fleet_.now() - start);
    const double busy = CpuSeconds() - cpu;
    double bytes = 0;
    double most = 0;
    double datagrams = 0;
    for (const auto& [endpoint, sent] : before) {
      const auto& node = fleet_.At(endpoint);
      const auto grown = static_cast<double>(node.sent_bytes() - sent.first);
      bytes += grown;
      most = std::max(most, grown);
      datagrams += static_cast<double>(node.sent_datagrams() - sent.second);
    }
    const double nodes = static_cast<double>(before.size());
    std::printf(
        "%s for %.1f s: %.0f bytes/s a node (most %.0f), %.1f datagrams/s, "
        "%.4f %% of a core\n",
        what, span, bytes / nodes / span, most / span, datagrams / nodes / span,
        100 * busy / nodes / span);
  }

  GossipFleet fleet_;
  bool failed_ = false;
};

}  // namespace
}  // namespace ibisvalve::bench

int main(int argc, char** argv) {
  gflags::SetUsageMessage("measures the membership protocol without sockets");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  google::InitGoogleLogging(argv[0]);
  return ibisvalve::bench::GossipBench().Run();
}
