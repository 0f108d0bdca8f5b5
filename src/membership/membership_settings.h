#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "world/world.h"

namespace ibisvalve::membership {

/// Settings of membership; the defaults suit 1,000 nodes.
struct MembershipSettings {
  std::vector<world::Endpoint> seeds;  // gossip endpoints of some nodes
  Duration period = std::chrono::milliseconds(500);  // between rounds
  uint32_t bytes_per_second = 5000;  // sent, on average, at most
  uint32_t datagram_bytes = 1200;    // largest datagram

  auto operator<=>(const MembershipSettings&) const = default;
};

}  // namespace ibisvalve::membership
