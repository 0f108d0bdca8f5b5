#pragma once

#include <functional>
#include <vector>

#include "dataplane/node_plane.h"
#include "net/net.h"
#include "policy/policy.h"
#include "wire/wire.h"

namespace ibisvalve::dataplane {

/// Tracks the requests that crashed targets of the local target's service, at
/// this gate and at the service's other gates, and quarantines those that were
/// in flight at repeated crashes.
class CrashTracker {
 public:
  using SendNotice = std::function<void(const wire::CrashNotice& notice)>;

  /// Creates a tracker without suspects. `send_notice` sends a notice to the
  /// other gates of the service.
  CrashTracker(net::EventLoop& loop,
               const PlaneSettings& settings,
               SendNotice send_notice);

  /// Records that the target broke the connection while it ran the request
  /// `fingerprint`. Notifies the other gates first, so that the notice precedes
  /// any retry that the ingress sends to one of them.
  void OnCrashDuringRun(Digest fingerprint);
  /// Records that a run of the request ended with a complete response.
  void OnResponse(Digest fingerprint);
  /// Records a crash that another gate reported.
  void OnCrashNotice(const wire::CrashNotice& notice);
  /// Returns whether the request must be refused.
  bool IsQuarantined(Digest fingerprint) const;
  /// Lifts the quarantine of a request; returns false if it has none.
  bool Lift(Digest fingerprint);
  /// Returns the quarantined requests, for the operators' page.
  std::vector<policy::QuarantineEntry> List() const;

 private:
  net::EventLoop& loop_;
  const PlaneSettings& settings_;
  SendNotice send_notice_;
  policy::Quarantine quarantine_;
  uint64_t crash_number_ = 0;
  Time last_crash_{};
};

}  // namespace ibisvalve::dataplane
