#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "membership/member_table.h"
#include "membership/peer_order.h"
#include "world/world.h"

namespace ibisvalve::membership {

/// Decides when which seeds are pinged: often while alone, but less and less,
/// so that a fleet that starts together does not swamp its seeds; otherwise
/// now and then one that is not a live member, so that two fleets that started
/// apart find each other.
class SeedSchedule {
 public:
  explicit SeedSchedule(std::vector<world::Endpoint> seeds)
      : seeds_(std::move(seeds)) {}

  /// Replaces the seeds.
  void SetSeeds(std::vector<world::Endpoint> seeds) {
    seeds_ = std::move(seeds);
  }
  /// Returns the seeds to ping in `round`, which grows with each call.
  std::vector<world::Endpoint> Due(uint64_t round,
                                   const MemberTable& table,
                                   PeerOrder& peers);

 private:
  std::vector<world::Endpoint> seeds_;
  uint64_t next_round_ = 0;
};

}  // namespace ibisvalve::membership
