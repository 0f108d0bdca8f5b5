#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/base.h"
#include "config/config.h"
#include "control/control.h"
#include "dataplane/dataplane.h"
#include "membership/membership.h"
#include "net/net.h"
#include "observe/observe.h"

namespace ibisvalve::node {

/// What a node needs to speak to callers and operators in their own terms.
struct NodeOptions {
  dataplane::HeaderNames names;
  /// Reads a fleet's file, called `name` in faults; throws InvalidInput.
  std::function<world::Fleet(const std::string& text, const std::string& name)>
      parse = config::ParseFleet;
};

/// The process in the node role: membership, control and data plane of one
/// host on one loop.
class NodeProcess {
 public:
  /// Binds every address of `settings` and starts. Throws SystemError.
  NodeProcess(net::EventLoop& loop,
              const config::Settings& settings,
              NodeOptions options = {});
  ~NodeProcess();
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  /// Planned stop: offers no new work, lets everything in flight end, says
  /// goodbye, then calls `done`. A second call does nothing.
  void Stop(std::function<void()> done);
  /// The settings file has changed: other peers are named from now on.
  void Reload(const config::Settings& settings);
  /// The target beside this node says something of itself.
  void Announce(const dataplane::TargetAnnouncement& announcement);
  /// Returns whether callers should use this node.
  bool ready() const;

 private:
  world::Member MakeSelf() const;
  dataplane::ClaimPort MakeClaimPort();
  dataplane::PlaneHandlers MakePlaneHandlers();
  control::NodeAgent::Handlers MakeAgentHandlers();
  std::string CheckFile(const control::ConfigFile& file) const;
  void Activate(const control::ConfigFile& file);
  void OnLease(bool held);
  void OnMember(const world::Member& member);
  void FollowKeepers();
  void AskPeer();
  void OnTarget(world::TargetState state, uint32_t slots);
  void ServePages();
  std::string StatusJson() const;

  net::EventLoop& loop_;
  const config::Settings settings_;
  const NodeOptions options_;
  Incarnation incarnation_;
  std::vector<world::Endpoint> named_keepers_;  // by the newest settings
  bool stopping_ = false;
  uint64_t in_force_since_us_ = 0;  // wall clock, for display
  world::TargetState target_state_ = world::TargetState::kNone;
  dataplane::FleetView view_;
  observe::BurnMeter burn_;
  net::AdminServer admin_;
  std::unique_ptr<dataplane::NodePlane> plane_;
  std::unique_ptr<membership::MembershipService> membership_;
  std::unique_ptr<control::NodeAgent> agent_;
  net::Timer ask_peer_;
  size_t asked_peers_ = 0;
};

}  // namespace ibisvalve::node
