#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "world/world.h"

namespace ibisvalve::config {

/// What a process of the daemon does.
enum class Role : uint8_t { kNode, kKeeper };

/// The target beside a node.
struct TargetSettings {
  ServiceName service;
  world::Endpoint endpoint;  // where it speaks HTTP
  uint32_t slots = 0;        // requests it can run at once
  std::string health_path;   // asked within the measuring budget; may be empty
  bool announces = false;    // not ready until it announces itself

  auto operator<=>(const TargetSettings&) const = default;
};

/// How an ingress picks targets: the policy, or a baseline to compare with.
enum class ChoicePolicy : uint8_t {
  kWeighed,  // several choices over aged hints
  kRandom,
  kRoundRobin,
  kLeastLocal,     // fewest in flight from this ingress
  kTwoStale,       // two choices over periodic reports
  kExpectedValue,  // where the answer is likeliest to be on time
};

/// Bounds of one process.
struct ProcessLimits {
  uint64_t body_memory = 24 << 20;  // bytes of bodies held at any time
  uint32_t caller_connections = 2000;
  double link_mbps = 0;  // of the host's network link; 0: not known
  Duration link_silence = std::chrono::milliseconds(300);  // before a link is
                                                           // asked about
  Duration drain_limit = std::chrono::seconds(60);         // of a planned stop
  Duration stop_linger{0};  // a planned stop still takes callers for so long

  // This node's part of what all nodes may send a service again.
  double retry_share = 1.0;         // of the requests that it sends on
  double retry_burst = 10;          // saved up at most
  double retries_per_second = 0.1;  // besides, for quiet services

  auto operator<=>(const ProcessLimits&) const = default;
};

/// How a keeper's group comes to be and changes.
struct KeeperGroup {
  bool found = true;              // may be founded from an empty folder
  bool grow = false;              // every keeper that is found becomes a voter
  uint32_t bears_lost_disks = 1;  // with `grow`
  Duration election = std::chrono::milliseconds(800);  // shortest time-out

  auto operator<=>(const KeeperGroup&) const = default;
};

/// Settings of one daemon, complete.
struct Settings {
  NodeId id;
  Role role = Role::kNode;
  world::Location location;
  world::Endpoint callers;  // node: HTTP for callers
  world::Endpoint mesh;     // node: TCP between nodes
  world::Endpoint gossip;   // node: UDP
  world::Endpoint admin;    // HTTP for operators; loopback by default
  world::Endpoint control;  // keeper: TCP for keepers and nodes
  std::string data;         // keeper: folder for all files
  std::vector<world::Endpoint> keepers;  // control endpoints of the keepers
  std::vector<world::Endpoint> seeds;    // gossip endpoints of some nodes
  std::optional<TargetSettings> target;  // node: none for an ingress only
  ChoicePolicy policy = ChoicePolicy::kWeighed;
  ProcessLimits limits;
  KeeperGroup group;    // keeper
  bool reports = true;  // node: burn counters, a fifth of a MiB a service

  auto operator<=>(const Settings&) const = default;
};

}  // namespace ibisvalve::config
