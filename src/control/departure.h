#pragma once

#include <functional>
#include <map>

#include "control/keeper_links.h"
#include "control/leader_relay.h"
#include "control/member_plan.h"
#include "control/replica_driver.h"

namespace ibisvalve::control {

/// Takes a keeper that is being stopped out of the voters of its group before
/// its process ends, so that the group does not wait for its vote. Runs at the
/// keeper that leaves and at the leader. All methods must be called on the
/// thread of the event loop.
class Departure {
 public:
  Departure(const ReplicaDriver& driver,
            KeeperLinks& links,
            LeaderRelay& relay,
            std::function<GroupView()> view);

  /// Starts the departure of this keeper. Calls `done` once the group does not
  /// count on it, once the leader replied that the group cannot spare it, or
  /// after 3 s without a reply. Must be called once.
  void Start(std::function<void()> done);
  /// Returns whether this keeper is leaving.
  bool started() const { return started_; }
  /// Ends the wait if the group's committed members do not count on this
  /// keeper. To be called after each applied membership change.
  void OnMembersApplied();
  /// Returns the answer to another keeper that is leaving.
  wire::LeaveReply OnRequest(const wire::LeaveRequest& request) const;
  /// Handles the leader's answer to this keeper.
  void OnReply(const wire::LeaveReply& reply);

 private:
  wire::LeaveResult ResultFor(wire::ReplicaId id) const;
  void Finish(const char* result);

  const ReplicaDriver& driver_;
  KeeperLinks& links_;
  LeaderRelay& relay_;
  std::function<GroupView()> view_;
  bool started_ = false;
  uint64_t call_ = 0;           // number of the pending call to the leader
  std::function<void()> done_;  // null unless the departure is pending
};

}  // namespace ibisvalve::control
