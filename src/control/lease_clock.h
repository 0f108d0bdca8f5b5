#pragma once

#include <cstdint>
#include <deque>

#include "base/base.h"

namespace ibisvalve::control {

/// Tracks how long a node may serve its active revision. The lease runs from
/// the time at which the confirmed heartbeat was sent, so it always ends at the
/// node before it ends at the leader. Performs no I/O and reads no clock.
class LeaseClock {
 public:
  /// Records that heartbeat `number` is sent at `now`.
  void RecordHeartbeat(uint64_t number, Time now);
  /// Records a grant for heartbeat `number`: after that heartbeat, a quorum
  /// confirmed that `active` is the active revision. Ignores a grant for a
  /// heartbeat that is not recorded.
  void RecordGrant(uint64_t number, Revision active, Duration lease);
  /// Records that `revision` is active at this node. It must not be lower than
  /// the one before.
  void RecordActivation(Revision revision);
  /// Ends the lease. Only a grant for a later heartbeat can renew it.
  void EndLease();
  /// Returns whether the lease on the active revision is held at `now`.
  bool HeldAt(Time now) const { return now < until_; }
  /// Returns the end of the lease.
  Time until() const { return until_; }

 private:
  struct SentHeartbeat {
    uint64_t number;
    Time at;
  };
  void Renew();

  // From the last confirmed heartbeat on, oldest first.
  std::deque<SentHeartbeat> sent_;
  Revision revision_;
  Revision confirmed_;  // highest active revision that a grant confirmed
  Time confirmed_until_{};
  Time until_{};
};

}  // namespace ibisvalve::control
