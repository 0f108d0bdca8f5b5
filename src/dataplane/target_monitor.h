#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "dataplane/fleet_view.h"
#include "dataplane/node_plane.h"
#include "net/net.h"

struct bufferevent;

namespace ibisvalve::dataplane {

/// Knows what the target beside this node is ready for: by asking it within
/// the measuring budget, by what it announces itself, and by operators' drains.
class TargetMonitor {
 public:
  using OnState = std::function<void(world::TargetState state, uint32_t slots)>;

  /// `on_state` is called from the loop, for the first state too.
  TargetMonitor(net::EventLoop& loop,
                const PlaneSettings& settings,
                const FleetView& view,
                OnState on_state);
  ~TargetMonitor();
  TargetMonitor(const TargetMonitor&) = delete;
  TargetMonitor& operator=(const TargetMonitor&) = delete;

  /// The target says of itself that it is in `state` with `slots`; 0 slots
  /// keeps those of the settings.
  void Announce(world::TargetState state, uint32_t slots);
  /// Operators or a planned stop take the target out of use.
  void SetDraining(bool draining);
  /// A request failed at the target: looks at it soon.
  void OnFault();

  world::TargetState state() const { return state_; }
  uint32_t slots() const { return slots_; }
  bool draining() const { return draining_; }
  /// Returns how many times the target was asked, for the cost of measuring.
  uint64_t checks() const { return checks_; }

 private:
  void Check();
  void CheckHttp();
  void CheckConnect();
  void OnResult(bool healthy);
  void ScheduleNext();
  void Update();

  net::EventLoop& loop_;
  const PlaneSettings& settings_;
  const FleetView& view_;
  OnState on_state_;
  world::TargetState state_ = world::TargetState::kNone;
  std::optional<world::TargetState> announced_;
  bool reachable_ = false;
  bool draining_ = false;
  bool checking_ = false;
  uint32_t slots_;
  uint64_t checks_ = 0;
  bufferevent* connecting_ = nullptr;
  net::Timer timer_;
  net::Timer connect_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ibisvalve::dataplane
