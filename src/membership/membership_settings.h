#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "world/world.h"

namespace ibisvalve::membership {

/// Settings of the membership protocol; the defaults suit 1,000 nodes.
struct MembershipSettings {
  /// Gossip endpoints of some nodes, through which a node finds the fleet.
  std::vector<world::Endpoint> seeds;
  /// Interval between two rounds.
  Duration period = std::chrono::milliseconds(500);
  /// Average rate at which the byte budget for sending refills.
  uint32_t bytes_per_second = 5000;
  /// Maximum size of a datagram, without IP and UDP headers.
  uint32_t datagram_bytes = 1200;

  auto operator<=>(const MembershipSettings&) const = default;
};

}  // namespace ibisvalve::membership
