#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/base.h"
#include "world/world.h"

namespace ibisvalve::policy {

/// Settings of BodyCredit.
struct BodyCreditSettings {
  double link_mbps = 0;  // of this host's link; 0: unknown, no limit
  // Time that the granted bytes take on the link.
  Duration max_backlog = std::chrono::milliseconds(50);
  uint64_t min_window = 16 << 10;  // bytes
  uint64_t quantum = 8 << 10;      // bytes, largest single grant
  // Granted bytes of a sender that has sent nothing for this long do not hold
  // up the other senders.
  Duration reclaim_after = std::chrono::milliseconds(300);

  auto operator<=>(const BodyCreditSettings&) const = default;
};

/// Grants the senders of request bodies the bytes that they may send, so that
/// all bodies together keep the receiver's link busy but never form a long
/// queue in front of it. The most urgent body is granted first. This is the
/// receiver-driven flow control of Homa (Montazeri et al., SIGCOMM 2018) and
/// pHost (Gao et al., CoNEXT 2015).
class BodyCredit {
 public:
  /// Permission for the sender of `id` to send `bytes` more.
  struct Grant {
    AttemptId id;
    uint32_t bytes = 0;

    auto operator<=>(const Grant&) const = default;
  };

  explicit BodyCredit(const BodyCreditSettings& settings);

  /// Adds a body of which `ungranted` bytes need a grant and `granted` bytes
  /// are under way without one. Bodies with an earlier `objective` go first.
  void Add(const AttemptId& id,
           uint64_t ungranted,
           uint64_t granted,
           Time objective,
           Time now);
  /// Records that `bytes` of a body arrived. Ignores unknown ids.
  void OnReceived(const AttemptId& id, uint64_t bytes, Time now);
  /// Removes a body that is complete or was given up. Ignores unknown ids.
  void Remove(const AttemptId& id);
  /// Returns the grants that can be made now.
  std::vector<Grant> Issue(Time now);

  /// Returns whether a body still needs grants.
  bool has_waiting() const;
  /// Returns the number of bytes that are granted but have not arrived, without
  /// those of stalled senders.
  uint64_t outstanding(Time now) const;
  /// Returns the time until a further body of `bytes` has arrived behind those
  /// that are granted or wait; 0 if the capacity of the link is unknown.
  Duration TransferTime(uint64_t bytes) const;
  /// Returns the maximum of outstanding bytes; UINT64_MAX: no limit.
  uint64_t window() const { return window_; }

 private:
  struct Body {
    uint64_t ungranted = 0;
    uint64_t granted = 0;  // granted bytes that have not arrived
    Time objective;
    Time progress;  // of the last grant after an idle time, or arrival
  };
  std::map<AttemptId, Body>::iterator FindMostUrgent(Time now);
  bool IsStalled(const Body& body, Time now) const;

  BodyCreditSettings settings_;
  uint64_t window_;
  std::map<AttemptId, Body> bodies_;
};

}  // namespace ibisvalve::policy
