#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "dataplane/node_plane.h"
#include "dataplane/target_client.h"
#include "net/net.h"
#include "policy/policy.h"
#include "wire/wire.h"

namespace ibisvalve::dataplane {

/// Tracks the current speed of the local target: from the load that the target
/// reports for its host, from the durations of its runs, and from the load of
/// the network link over which requests arrive.
class LoadTracker {
 public:
  struct Handlers {
    /// Called with the headers of the response to a probe.
    std::function<void(const wire::Headers& headers)> on_probe_headers;
    /// Called when a probe ended, with or without a response.
    std::function<void()> on_probed;
    /// Called when the slowdown has changed so much that ingresses must be
    /// notified at once.
    std::function<void()> on_changed;
  };

  /// Creates a tracker. `client` is null if there is no target. All references
  /// must outlive the object.
  LoadTracker(net::EventLoop& loop,
              const PlaneSettings& settings,
              TargetClient* client,
              Handlers handlers);

  /// Updates the load from headers of one of the target's responses.
  void UpdateFromHeaders(const wire::Headers& headers);
  /// Sets the path at which the target reports its load; empty: none.
  void SetPath(const std::string& path) { path_ = path; }
  /// Requests the target's load, unless the target has reported it since
  /// `since` or a probe is in progress. The health status in that response is
  /// ignored.
  void Probe(Time since);
  /// Ignores the response to a probe in progress, as the target has started
  /// again.
  void ForgetProbe() { probe_ = nullptr; }
  /// Returns whether a probe is in progress that may still be waited for.
  bool probing() const { return probe_timer_.running(); }
  /// Returns the number of probes sent.
  uint64_t probes() const { return probes_; }

  /// Records the start of a run with the usual service time `usual_service_us`
  /// (0: not known).
  void BeginRun(const AttemptId& id, uint64_t usual_service_us);
  /// Records the end of a run; `completed` is false if the target did not
  /// complete it.
  void EndRun(const AttemptId& id, bool completed);
  /// Records that `bytes` of a request arrived from another host.
  void OnBytesReceived(uint64_t bytes);

  /// Returns the expected service time of a run that starts now, from its usual
  /// service time `usual_service_us`; 0 if that is not known (0).
  Duration ExpectedServiceTime(uint64_t usual_service_us) const;
  /// Returns the slowdown that the target last reported; at least 1 (none).
  double slowdown() const { return slowdown_; }
  /// Returns whether the last reported slowdown is significant.
  bool IsSlowed() const;
  /// Returns the time since the target last reported its load.
  Duration age() const;
  /// Sets the slowdown, pace and transfer time in `hint`. `backlog` is the
  /// transfer time of the request bodies that already wait.
  void FillHint(wire::LoadHint& hint, Duration backlog = Duration(0)) const;

 private:
  void NotifyIfChanged();
  void EndProbe();

  net::EventLoop& loop_;
  const PlaneSettings& settings_;
  TargetClient* client_;
  Handlers handlers_;
  std::string path_;
  std::unique_ptr<TargetCall> probe_;  // also while it is overdue
  Time probe_started_{};
  net::Timer probe_timer_;
  net::Timer notify_timer_;
  uint64_t probes_ = 0;
  double slowdown_ = 1;
  Time reported_at_{};
  double notified_slowdown_ = 1;  // of the last notification of ingresses
  Time notified_at_{};
  policy::PaceMeter pace_;
  policy::LinkMeter link_;
};

}  // namespace ibisvalve::dataplane
