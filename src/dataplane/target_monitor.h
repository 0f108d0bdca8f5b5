#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "dataplane/fleet_view.h"
#include "dataplane/node_plane.h"
#include "dataplane/target_registry.h"
#include "net/net.h"

struct bufferevent;

namespace ibisvalve::dataplane {

/// Determines the state of the local target from health checks within the
/// measuring budget, from the target's announcements, and from operators'
/// drains.
class TargetMonitor {
 public:
  using OnState = std::function<void(world::TargetState state, uint32_t slots)>;

  /// Starts the health checks. `on_state` is called on the event loop for the
  /// initial state and after each update, even if the state is unchanged.
  TargetMonitor(net::EventLoop& loop,
                const PlaneSettings& settings,
                const FleetView& view,
                OnState on_state);
  ~TargetMonitor();
  TargetMonitor(const TargetMonitor&) = delete;
  TargetMonitor& operator=(const TargetMonitor&) = delete;

  /// Handles an announcement of the target.
  void Announce(const TargetAnnouncement& announcement);
  /// Starts or ends draining the target, for operators or a planned stop.
  void SetDraining(bool draining);
  /// Handles a failed request: schedules a health check if none is scheduled or
  /// in progress.
  void OnRequestFailure();

  /// Handles a response of another target at the local target's address. The
  /// state is down until a target announces itself with a new identity.
  void OnTargetReplaced();
  /// Handles a response with which the target says that it leaves. It drains
  /// until another run of a target announces itself.
  void OnTargetLeaves();
  /// Records that `runs` of the target have departed, as the fleet remembers.
  void RecordDepartures(const world::DepartedRuns& runs);
  /// Returns the run that an announcement belongs to; see TargetRegistry.
  std::optional<world::TargetRun> FindRun(
      const TargetAnnouncement& announcement) const {
    return registry_.FindRun(announcement);
  }
  /// Returns the current run of the target if it departs and has announced its
  /// identity.
  std::optional<world::TargetRun> departing_run() const;
  /// Returns the current run of the target if it has announced its identity.
  std::optional<HeardRun> heard_run() const;
  /// Returns the identity that the target announced; empty: none yet.
  const std::string& identity() const { return identity_; }
  /// Returns how long the target stays cold by its latest announcement.
  Duration cold_left() const {
    return registry_.current() ? registry_.current()->cold_left : Duration(0);
  }
  /// Returns whether the target answered the latest check, healthy or not.
  bool answers_checks() const { return answers_checks_; }
  /// Returns the number of the announced run of the target; 0: none yet.
  uint64_t run() const { return registry_.run(); }
  world::TargetState state() const { return state_; }
  uint32_t slots() const { return slots_; }
  bool draining() const { return draining_; }
  /// Returns the number of health checks so far, for the cost of measuring.
  uint64_t checks() const { return checks_; }

 private:
  // A target that announces itself needs no health checks. It is checked only
  // where a check is cheap, that is, if it has a health path.
  bool checks_enabled() const {
    return !settings_.target_announces || !settings_.health_path.empty();
  }
  void Check();
  void CheckHttp();
  void CheckConnect();
  void OnCheckResult(bool answered, bool healthy);
  void ScheduleNext();
  void UpdateState();

  net::EventLoop& loop_;
  const PlaneSettings& settings_;
  const FleetView& view_;
  OnState on_state_;
  world::TargetState state_ = world::TargetState::kNone;
  TargetRegistry registry_;
  std::string identity_;
  bool reachable_ = false;
  bool replaced_ = false;  // another target responds at the address
  bool leaves_ = false;    // the target has said that it leaves
  bool draining_ = false;
  bool answers_checks_ = true;
  bool checking_ = false;
  uint32_t slots_;
  uint64_t checks_ = 0;
  bufferevent* connecting_ = nullptr;
  net::Timer timer_;
  net::Timer connect_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ibisvalve::dataplane
