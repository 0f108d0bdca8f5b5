#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "base/base.h"
#include "world/world.h"

namespace ibisvalve::dataplane {

/// Decides when the slices of large responses go on the uplink of this host.
/// Small responses are sent at once, and large ones share what is left, so that
/// a small response never waits behind much of a large one. The response with
/// the fewest bytes left goes first, which ends the most responses in time.
/// Does no I/O and reads no clock.
class UplinkSchedule {
 public:
  /// `link_mbps` is the capacity of the link; 0: unknown, nothing is scheduled.
  explicit UplinkSchedule(double link_mbps);

  bool enabled() const { return bytes_per_us_ > 0; }
  /// Records that `bytes` of any kind were handed to the link.
  void OnSent(uint64_t bytes, Time now);
  /// Adds a response of which `left` bytes are not sent, or updates them.
  void Add(const AttemptId& id, uint64_t left);
  /// Returns the response whose next slice may be sent now and removes it.
  std::optional<AttemptId> TakeNext(Time now);
  /// Returns the time until a slice may be sent; nullopt: none waits.
  std::optional<Duration> NextIn(Time now) const;

 private:
  double bytes_per_us_;
  Time busy_until_{};  // when the link has sent what was handed to it
  std::map<AttemptId, uint64_t> waiting_;  // bytes left
};

}  // namespace ibisvalve::dataplane
