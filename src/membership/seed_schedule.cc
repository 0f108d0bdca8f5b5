#include "membership/seed_schedule.h"

#include <algorithm>

namespace ibisvalve::membership {
namespace {

// Number of seeds pinged at a time while no other live member is known.
constexpr size_t kMaxSeedsWhenAlone = 3;
// Maximum number of rounds between pings while no other live member is known.
constexpr uint64_t kMaxRoundsBetweenPingsAlone = 16;
// Maximum number of rounds between pings once another live member is known.
constexpr uint64_t kMaxRoundsBetweenPings = 20;

}  // namespace

std::vector<world::Endpoint> SeedSchedule::Due(uint64_t round,
                                               const MemberTable& table,
                                               PeerSelector& peers) {
  if (round < next_round_) {
    return {};
  }
  const bool alone = table.live() <= 1;
  const uint64_t interval =
      alone ? std::clamp<uint64_t>(round, 1, kMaxRoundsBetweenPingsAlone)
            : kMaxRoundsBetweenPings;
  next_round_ = round + 1 + peers.RandomBelow(interval);
  std::vector<world::Endpoint> due = seeds_;
  for (const auto& [id, member] : table.members()) {
    if (IsLive(member)) {
      std::erase(due, member.gossip);
    }
  }
  if (!due.empty()) {
    const auto middle =
        due.begin() + static_cast<int>(peers.RandomBelow(due.size()));
    std::rotate(due.begin(), middle, due.end());
    due.resize(std::min(due.size(), alone ? kMaxSeedsWhenAlone : 1));
  }
  return due;
}

}  // namespace ibisvalve::membership
