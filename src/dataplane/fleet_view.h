#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "base/base.h"
#include "policy/policy.h"
#include "world/world.h"

namespace ibisvalve::dataplane {

/// The data plane's view of the fleet: the active configuration and the
/// members. The node updates it; the data plane only reads it.
class FleetView {
 public:
  /// Activates `fleet` as `revision`.
  void SetFleet(std::shared_ptr<const world::Fleet> fleet, Revision revision);
  /// Sets a function that is called whenever SetFleet has been called.
  void SetOnFleetChanged(std::function<void()> on_fleet);
  /// Sets a function that is called whenever SetMember has been called.
  void SetOnMemberChanged(std::function<void(const world::Member&)> on_member);
  /// Sets the function that returns whether the revision is confirmed by a
  /// valid lease. It is called for each request, because a process that was
  /// suspended may handle a request before the lease's timer fires. Without
  /// this function, no lease is held.
  void SetLeaseCheck(std::function<bool()> is_held);
  /// Sets the zones whose targets get no requests.
  void SetEvacuatedZones(const std::set<ZoneName>& zones) {
    evacuated_ = zones;
  }
  /// Returns whether the targets in `zone` get no requests.
  bool IsEvacuated(const ZoneName& zone) const {
    return evacuated_.contains(zone);
  }
  /// Adds or updates a member.
  void SetMember(const world::Member& member);

  /// Returns the active configuration, or null before the first one.
  const std::shared_ptr<const world::Fleet>& fleet() const { return fleet_; }
  Revision revision() const { return revision_; }
  /// Returns the index of the keys of the active configuration's workspaces, or
  /// null before the first configuration.
  const std::shared_ptr<const policy::WorkspaceKeys>& workspace_keys() const {
    return workspace_keys_;
  }
  /// Returns whether requests with `repeat` may be served now, given the lease
  /// and the fleet's policy for isolated nodes.
  bool MayServe(world::Repeat repeat) const;
  /// Returns the member `id`, or null. Valid until the next SetMember call.
  const world::Member* Find(const NodeId& id) const;
  /// Returns all members that were ever announced, by id.
  const std::map<NodeId, world::Member>& members() const { return members_; }
  /// Returns the members that currently accept requests of `service`.
  std::vector<const world::Member*> Targets(const ServiceName& service) const;
  /// Returns the live members with a target of `service` in any state.
  std::vector<const world::Member*> Gates(const ServiceName& service) const;

 private:
  std::vector<const world::Member*> Select(
      const ServiceName& service,
      bool (*wanted)(const world::Member&)) const;

  std::shared_ptr<const world::Fleet> fleet_;
  std::shared_ptr<const policy::WorkspaceKeys> workspace_keys_;
  Revision revision_;
  std::function<bool()> lease_held_;
  std::function<void()> on_fleet_;
  std::function<void(const world::Member&)> on_member_;
  std::set<ZoneName> evacuated_;
  std::map<NodeId, world::Member> members_;
  std::map<ServiceName, std::vector<NodeId>> by_service_;
};

}  // namespace ibisvalve::dataplane
