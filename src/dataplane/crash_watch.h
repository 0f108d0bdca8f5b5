#pragma once

#include <functional>
#include <vector>

#include "dataplane/node_plane.h"
#include "net/net.h"
#include "policy/policy.h"
#include "wire/wire.h"

namespace ibisvalve::dataplane {

/// Knows which requests broke targets of the service beside this node, here
/// and at the other gates.
class CrashWatch {
 public:
  using Tell = std::function<void(const wire::CrashNotice& notice)>;

  /// `tell` sends a notice to the other gates of the service.
  CrashWatch(net::EventLoop& loop, const PlaneSettings& settings, Tell tell);

  /// The target broke off while it ran a request. The other gates are told
  /// before the ingress can try one of them.
  void OnBroke(Digest fingerprint);
  /// A run of the request ended with a whole answer.
  void OnAnswer(Digest fingerprint);
  /// Another gate tells of a target that broke off.
  void OnNotice(const wire::CrashNotice& notice);
  /// Returns whether the request is to be refused.
  bool IsQuarantined(Digest fingerprint) const;
  /// Ends a quarantine; returns whether there was one.
  bool Lift(Digest fingerprint);
  /// Returns what is refused, for operators.
  std::vector<policy::QuarantineEntry> List() const;

 private:
  net::EventLoop& loop_;
  const PlaneSettings& settings_;
  Tell tell_;
  policy::Quarantine quarantine_;
  uint64_t crash_number_ = 0;
  Time last_crash_{};
};

}  // namespace ibisvalve::dataplane
