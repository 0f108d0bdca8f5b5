#pragma once

#include <cstdint>

#include "base/base.h"

namespace ibisvalve::membership {

/// Decides when this node asks peers for their members: now and then, or
/// several peers at once while its table is much smaller than theirs.
class SyncSchedule {
 public:
  explicit SyncSchedule(Duration period) : period_(period) {}

  /// Begins a round.
  void StartRound() { left_ = kSyncsPerRound; }
  /// Notes that a peer knows `theirs` live members, and this node `mine`.
  void Compared(uint32_t mine, uint32_t theirs) {
    behind_ = mine + mine / 8 < theirs;
    fleet_size_ = theirs;
  }
  /// Returns whether the table is much smaller than a peer's.
  bool behind() const { return behind_; }
  /// Returns whether the peer that was compared with is to be asked.
  bool IsDue(Time now) const { return behind_ || now >= next_; }
  /// Takes one request out of the round's; returns false when none is left.
  bool Take(Time now) {
    next_ = now + period_ * kRoundsPerSync;
    return left_ > 0 && left_-- > 0;
  }
  /// Returns whether digests of `mine` members would spare the peer much.
  bool DigestsHelp(uint32_t mine) const {
    return mine * kDigestsFrom >= fleet_size_;
  }

 private:
  static constexpr int kRoundsPerSync = 4;
  static constexpr uint32_t kSyncsPerRound = 6;
  static constexpr uint32_t kDigestsFrom = 3;  // times as many known to a peer

  Duration period_;
  Time next_;
  uint32_t left_ = 0;
  uint32_t fleet_size_ = 0;
  bool behind_ = false;
};

}  // namespace ibisvalve::membership
