#pragma once

#include <functional>
#include <optional>
#include <string>

#include "dataplane/fleet_view.h"
#include "dataplane/node_plane.h"
#include "dataplane/target_notice.h"
#include "net/net.h"

namespace ibisvalve::dataplane {

/// The rate at which the local target takes requests: the limit that it names
/// itself, and the limit of its service for targets that are cold. All requests
/// to the target pass its gate, so the limit holds for all hosts together.
class TargetLimit {
 public:
  struct Handlers {
    /// Called with the requests a second that the target takes; nullopt: any.
    std::function<void(std::optional<double> per_second)> on_rate;
    /// Called when a limit has begun or ended, so that ingresses must be
    /// notified at once.
    std::function<void()> on_load_changed;
    /// Called when the target says that it leaves.
    std::function<void()> on_target_leaves;
  };

  /// All references must outlive the object.
  TargetLimit(net::EventLoop& loop,
              const PlaneSettings& settings,
              const FleetView& view,
              Handlers handlers);

  /// Applies what the target tells about itself with a response; `source` says
  /// where, for the log.
  void OnNotice(const TargetNotice& notice, const std::string& source);
  /// Records that the target announced to stay cold for `left`. The limit is
  /// not shortened, since an announcement may be late.
  void OnAnnouncedCold(Duration left);
  /// Forgets the limits of the target, because another one replaces it.
  void Reset(const std::string& identity);
  /// Returns whether the target is cold and limited for that reason.
  bool cold() const { return loop_.Now() < cold_until_; }

 private:
  void SetColdUntil(Time until);
  void Update();

  net::EventLoop& loop_;
  const PlaneSettings& settings_;
  const FleetView& view_;
  Handlers handlers_;
  std::string identity_;
  TargetNotice notice_;  // in the latest response of the target
  Time cold_until_{};
  std::optional<double> rate_;  // last passed to on_rate
  net::Timer cold_end_timer_;
};

}  // namespace ibisvalve::dataplane
