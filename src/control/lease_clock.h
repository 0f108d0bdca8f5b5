#pragma once

#include <cstdint>
#include <deque>

#include "base/base.h"

namespace ibisvalve::control {

/// Knows how long a node may serve its revision. The lease is counted from when
/// the confirmed heartbeat was sent, so the node always gives up before the
/// leader stops counting on it. Pure.
class LeaseClock {
 public:
  /// Heartbeat `number` is sent now.
  void Sent(uint64_t number, Time now);
  /// A majority confirmed, after that heartbeat, that `active` is in force.
  void Granted(uint64_t number, Revision active, Duration lease);
  /// `revision` is in force at this node; never an older one than before.
  void Activated(Revision revision);
  /// Gives the lease up, for good where no heartbeat follows.
  void Drop();
  /// Returns whether the revision in force is confirmed at `now`.
  bool HeldAt(Time now) const { return now < until_; }
  /// Returns when the lease ends.
  Time until() const { return until_; }

 private:
  struct SentAt {
    uint64_t number;
    Time at;
  };
  void Renew();

  std::deque<SentAt> sent_;  // not confirmed yet, oldest first
  Revision revision_;
  Revision confirmed_;  // by the last grant
  Time confirmed_until_{};
  Time until_{};
};

}  // namespace ibisvalve::control
