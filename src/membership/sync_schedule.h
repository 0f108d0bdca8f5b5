#pragma once

#include <cstdint>

#include "base/base.h"

namespace ibisvalve::membership {

/// Schedules requests to peers for their members: one every few rounds, or
/// several per round while this node's table is much smaller than a peer's.
class SyncSchedule {
 public:
  explicit SyncSchedule(Duration period) : period_(period) {}

  /// Starts a round and resets the number of requests that it allows.
  void StartRound() { left_ = kSyncsPerRound; }
  /// Records that this node knows `mine` live members and a peer `theirs`. This
  /// node is behind if the peer knows over an eighth more.
  void Compared(uint32_t mine, uint32_t theirs) {
    behind_ = mine + mine / 8 < theirs;
    fleet_size_ = theirs;
  }
  /// Returns whether this node's table is much smaller than the last peer's.
  bool behind() const { return behind_; }
  /// Returns whether to request the members of the peer last compared with.
  bool IsDue(Time now) const { return behind_ || now >= next_; }
  /// Counts one request against the round's limit and postpones the next
  /// regular one. Returns false if the limit is reached.
  bool Take(Time now) {
    next_ = now + period_ * kRoundsPerSync;
    return left_ > 0 && left_-- > 0;
  }
  /// Returns whether a request should carry digests of this node's `mine`
  /// members. With far fewer members than the peer, nearly every bucket differs
  /// and digests would save little.
  bool DigestsHelp(uint32_t mine) const {
    return mine * kDigestsFrom >= fleet_size_;
  }

 private:
  // Rounds between regular requests.
  static constexpr int kRoundsPerSync = 4;
  // Maximum number of requests per round.
  static constexpr uint32_t kSyncsPerRound = 6;
  // Maximum ratio of a peer's members to this node's at which requests carry
  // digests.
  static constexpr uint32_t kDigestsFrom = 3;

  Duration period_;
  Time next_;
  uint32_t left_ = 0;
  uint32_t fleet_size_ = 0;
  bool behind_ = false;
};

}  // namespace ibisvalve::membership
