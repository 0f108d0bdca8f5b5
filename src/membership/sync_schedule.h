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
  void StartRound() { requests_left_ = kMaxSyncsPerRound; }
  /// Records that this node knows `own_members` live members and a peer knows
  /// `peer_members`. This node is behind if the peer knows over an eighth
  /// more.
  void RecordComparison(uint32_t own_members, uint32_t peer_members) {
    behind_ = own_members + own_members / 8 < peer_members;
    fleet_size_ = peer_members;
  }
  /// Returns whether this node's table was much smaller than the peer's at the
  /// last comparison.
  bool behind() const { return behind_; }
  /// Returns whether to request the members of the peer last compared with.
  bool IsDue(Time now) const { return behind_ || now >= next_; }
  /// Counts one request against the round's limit and postpones the next
  /// regular one. Returns false if the limit is reached.
  bool TakeRequest(Time now) {
    next_ = now + period_ * kRoundsPerSync;
    return requests_left_ > 0 && requests_left_-- > 0;
  }
  /// Returns whether a request should carry digests of this node's
  /// `own_members` members. With far fewer members than the peer, nearly every
  /// bucket differs and digests would save little.
  bool ShouldSendDigests(uint32_t own_members) const {
    return own_members * kMaxSizeRatioForDigests >= fleet_size_;
  }

 private:
  // Rounds between regular requests.
  static constexpr int kRoundsPerSync = 4;
  // Maximum number of requests per round.
  static constexpr uint32_t kMaxSyncsPerRound = 6;
  // Maximum ratio of a peer's members to this node's at which requests carry
  // digests.
  static constexpr uint32_t kMaxSizeRatioForDigests = 3;

  Duration period_;
  Time next_;
  uint32_t requests_left_ = 0;
  uint32_t fleet_size_ = 0;
  bool behind_ = false;
};

}  // namespace ibisvalve::membership
