#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "membership/member_table.h"
#include "membership/peer_selector.h"
#include "world/world.h"

namespace ibisvalve::membership {

/// Schedules pings of the seeds. A node that knows no other live member pings
/// several seeds at growing random intervals, so that nodes that start together
/// do not overload their seeds. Any other node occasionally pings one seed that
/// is not a live member, so that two fleets that started separately merge.
class SeedSchedule {
 public:
  explicit SeedSchedule(std::vector<world::Endpoint> seeds)
      : seeds_(std::move(seeds)) {}

  /// Replaces the seeds.
  void SetSeeds(std::vector<world::Endpoint> seeds) {
    seeds_ = std::move(seeds);
  }
  /// Returns the seeds to ping in `round`, which must increase from call to
  /// call.
  std::vector<world::Endpoint> Due(uint64_t round,
                                   const MemberTable& table,
                                   PeerSelector& peers);

 private:
  std::vector<world::Endpoint> seeds_;
  uint64_t next_round_ = 0;
};

}  // namespace ibisvalve::membership
