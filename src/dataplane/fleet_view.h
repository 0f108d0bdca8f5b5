#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "base/base.h"
#include "world/world.h"

namespace ibisvalve::dataplane {

/// What the data plane knows of the fleet. The node keeps it up to date; the
/// data plane only reads it.
class FleetView {
 public:
  /// Puts `fleet` in force as `revision`.
  void SetFleet(std::shared_ptr<const world::Fleet> fleet, Revision revision);
  /// Calls `on_fleet` whenever another file has come into force.
  void SetOnFleet(std::function<void()> on_fleet);
  /// Sets what tells whether the revision is confirmed within its lease. It is
  /// asked for each request, because a process that was frozen may handle one
  /// before the lease's timer. Without it, no lease is held.
  void SetLeaseCheck(std::function<bool()> held);
  /// Takes in a member that is new or changed.
  void SetMember(const world::Member& member);

  /// Returns the file in force; null before the first.
  const std::shared_ptr<const world::Fleet>& fleet() const { return fleet_; }
  Revision revision() const { return revision_; }
  /// Returns whether requests with `repeat` may be handled now.
  bool MayServe(world::Repeat repeat) const;
  /// Returns the member `id`, or null. Valid until the next SetMember.
  const world::Member* Find(const NodeId& id) const;
  /// Returns the members that can be offered work of `service`.
  std::vector<const world::Member*> Targets(const ServiceName& service) const;

 private:
  std::shared_ptr<const world::Fleet> fleet_;
  Revision revision_;
  std::function<bool()> lease_held_;
  std::function<void()> on_fleet_;
  std::map<NodeId, world::Member> members_;
  std::map<ServiceName, std::vector<NodeId>> by_service_;
};

}  // namespace ibisvalve::dataplane
