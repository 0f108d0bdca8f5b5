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

  /// The target says something of itself.
  void Announce(const TargetAnnouncement& announcement);
  /// Operators or a planned stop take the target out of use.
  void SetDraining(bool draining);
  /// A request failed at the target: looks at it soon.
  void OnFault();

  /// Another target answers at the address of this node's own, which must
  /// announce itself before it gets work again.
  void OnReplaced();
  /// Returns the identity that the target announced; empty before that.
  const std::string& identity() const { return identity_; }
  world::TargetState state() const { return state_; }
  uint32_t slots() const { return slots_; }
  bool draining() const { return draining_; }
  /// Returns how many times the target was asked, for the cost of measuring.
  uint64_t checks() const { return checks_; }

 private:
  // A target that announces itself needs no checks unless they cost it little.
  bool checks_enabled() const {
    return !settings_.target_announces || !settings_.health_path.empty();
  }
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
  TargetRegistry registry_;
  std::string identity_;
  bool reachable_ = false;
  bool replaced_ = false;  // the address belongs to another target
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
