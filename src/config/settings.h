#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "world/world.h"

namespace ibisvalve::config {

/// Role of a daemon process.
enum class Role : uint8_t { kNode, kKeeper };

/// Settings of the target that a node serves.
struct TargetSettings {
  ServiceName service;
  world::Endpoint endpoint;  // HTTP
  uint32_t slots = 0;        // requests that it can run concurrently
  std::string health_path;   // polled within the measuring budget; may be empty
  bool announces = false;    // not ready until it has announced itself

  auto operator<=>(const TargetSettings&) const = default;
};

/// Load-balancing algorithm of an ingress. Random, round-robin, least-local and
/// two-stale are baselines for comparison.
enum class ChoicePolicy : uint8_t {
  kWeighed,  // best of a few random targets by hints weighted by age
  kRandom,
  kRoundRobin,
  kLeastLocal,     // fewest requests in flight from this ingress
  kTwoStale,       // power of two choices by periodic reports of any age
  kExpectedValue,  // highest expected value of an answer by its objective
};

/// Resource limits and time-outs of one process.
struct ProcessLimits {
  uint64_t body_memory = 24 << 20;  // bytes, for all buffered bodies together
  uint32_t caller_connections = 2000;
  double link_mbps = 0;  // capacity of the host's network link; 0: unknown
  // If no byte arrives on a mesh link with attempts in flight for this time,
  // the link counts as lost and the gate is queried for their outcomes.
  Duration link_silence = std::chrono::milliseconds(300);
  // A planned stop ends after this time even if requests are in flight.
  Duration drain_limit = std::chrono::seconds(60);
  // A planned stop accepts connections from callers for this time.
  Duration stop_linger{0};

  // This node's portion of the retry budget that a service has on all nodes.
  double retry_share = 1.0;         // retries per forwarded request, at most
  double retry_burst = 10;          // unused retries that can accumulate
  double retries_per_second = 0.1;  // in addition, for services with low load

  auto operator<=>(const ProcessLimits&) const = default;
};

/// How a group of keepers is founded and changes its voters.
struct KeeperGroup {
  // Whether this keeper may found a group if its data directory is empty.
  bool found = true;
  // Whether every keeper that is discovered becomes a voter, and dead voters
  // are removed, without an operator.
  bool grow = false;
  // With `grow`: number of lost disks that the group has to survive. A dead
  // voter is removed only if 2 * tolerated_disk_losses + 1 voters remain.
  uint32_t tolerated_disk_losses = 1;
  Duration election = std::chrono::milliseconds(800);  // minimum time-out

  auto operator<=>(const KeeperGroup&) const = default;
};

/// All settings of one daemon. Fields marked with a role apply to that role
/// only.
struct Settings {
  NodeId id;
  Role role = Role::kNode;
  world::Location location;
  world::Endpoint callers;  // node: HTTP for callers
  world::Endpoint mesh;     // node: TCP between nodes
  world::Endpoint gossip;   // node: UDP
  world::Endpoint admin;    // HTTP for operators; loopback by default
  world::Endpoint control;  // keeper: TCP for keepers and nodes
  std::string data;         // keeper: directory of all files
  std::vector<world::Endpoint> keepers;  // control endpoints of the keepers
  std::vector<world::Endpoint> seeds;    // gossip endpoints of some nodes
  std::optional<TargetSettings> target;  // node: empty if it is only an ingress
  ChoicePolicy policy = ChoicePolicy::kWeighed;
  ProcessLimits limits;
  KeeperGroup group;  // keeper
  // keeper: zones that operators may name besides those of the file and of the
  // nodes that report
  std::vector<ZoneName> zones;
  // node: whether to count burn rates, which takes 0.2 MiB per service
  bool reports = true;

  auto operator<=>(const Settings&) const = default;
};

}  // namespace ibisvalve::config
