#pragma once

#include <cstdint>
#include <functional>

#include "net/net.h"
#include "policy/policy.h"
#include "wire/wire.h"

namespace ibisvalve::dataplane {

/// Grants credit for the bodies of the attempts that a gate is receiving over
/// mesh links. Runs on the event loop.
class BodyReceiver {
 public:
  using Grant = std::function<void(const wire::Credit& credit)>;

  /// Calls `grant` for each credit. `link_mbps` is the capacity of this host's
  /// link; 0 if unknown.
  BodyReceiver(net::EventLoop& loop, double link_mbps, Grant grant);

  /// Starts to receive the rest of the body of `open`.
  void Begin(const wire::OpenAttempt& open, Time objective);
  /// Records that `bytes` of the body of attempt `id` arrived.
  void OnReceived(const AttemptId& id, uint64_t bytes);
  /// Returns the time until a further body of `bytes` has arrived; 0 if the
  /// capacity of the link is unknown.
  Duration TransferTime(uint64_t bytes) const {
    return credit_.TransferTime(bytes);
  }
  /// Ends the transfer of a body; has no effect if none is in progress.
  void End(const AttemptId& id);

 private:
  void IssueCredit();

  net::EventLoop& loop_;
  policy::BodyCredit credit_;
  Grant grant_;
  // Issues credit that stalled senders hold up.
  net::Timer timer_;
};

}  // namespace ibisvalve::dataplane
