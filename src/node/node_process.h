#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/base.h"
#include "config/config.h"
#include "control/control.h"
#include "dataplane/dataplane.h"
#include "membership/membership.h"
#include "net/net.h"
#include "observe/observe.h"

namespace ibisvalve::node {

/// The process in the node role: membership, control and data plane of one
/// host on one loop.
class NodeProcess {
 public:
  /// Binds every address of `settings` and starts. Throws SystemError.
  NodeProcess(net::EventLoop& loop, const config::Settings& settings);
  ~NodeProcess();
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  /// Planned stop: offers no new work, lets everything in flight end, says
  /// goodbye, then calls `done`. A second call does nothing.
  void Stop(std::function<void()> done);

 private:
  world::Member MakeSelf() const;
  dataplane::ClaimPort MakeClaimPort();
  dataplane::PlaneHandlers MakePlaneHandlers();
  control::NodeAgent::Handlers MakeAgentHandlers();
  std::string CheckFile(const control::ConfigFile& file) const;
  void Activate(const control::ConfigFile& file);
  void OnLease(bool held);
  void OnTarget(world::TargetState state, uint32_t slots);
  void ServePages();
  std::string StatusJson() const;

  net::EventLoop& loop_;
  const config::Settings settings_;
  const Incarnation incarnation_;
  bool stopping_ = false;
  uint64_t in_force_since_us_ = 0;  // wall clock, for display
  world::TargetState target_state_ = world::TargetState::kNone;
  dataplane::FleetView view_;
  observe::BurnMeter burn_;
  net::AdminServer admin_;
  std::unique_ptr<dataplane::NodePlane> plane_;
  std::unique_ptr<membership::MembershipService> membership_;
  std::unique_ptr<control::NodeAgent> agent_;
};

}  // namespace ibisvalve::node
