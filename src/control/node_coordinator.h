#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "control/activation_tracker.h"
#include "control/propagation.h"
#include "control/replica_driver.h"
#include "net/net.h"

namespace ibisvalve::control {

/// Grants leases to nodes after a read that a quorum has confirmed, and
/// activates or withdraws staged files. It has an effect only while this keeper
/// leads.
class NodeCoordinator {
 public:
  using Reply = std::function<void(const wire::SessionGrants&)>;

  NodeCoordinator(net::EventLoop& loop, ReplicaDriver& driver);
  ~NodeCoordinator() { *alive_ = false; }
  NodeCoordinator(const NodeCoordinator&) = delete;
  NodeCoordinator& operator=(const NodeCoordinator&) = delete;

  /// Records reports of nodes. `reply` receives the grants. It is not called if
  /// this keeper does not lead or no quorum confirms the read.
  void OnReports(const wire::SessionReports& reports, Reply reply);
  /// Resets the leader's state. Called whenever the role of this keeper may
  /// have changed.
  void OnRoleChange();
  /// Calls `done(true)` once every node that reports to this leader has
  /// activated `revision`, or after at most 2 s, or `done(false)` if this
  /// keeper does not lead or stops to lead before. `done` may run within this
  /// call.
  void AwaitPropagation(Revision revision, std::function<void(bool)> done);
  /// The same for version `zones` of the zone orders. With `all_leases`, waits
  /// for silent nodes too until their leases have ended.
  void AwaitZones(uint64_t zones,
                  bool all_leases,
                  std::function<void(bool)> done);
  /// Handles a change of the replicated state. Returns whether this keeper has
  /// just become a leader with all committed entries applied.
  bool OnApplied();
  /// Returns the tracker with the sessions of all nodes known to this leader.
  const ActivationTracker& tracker() const { return tracker_; }

 private:
  struct GrantRequest {
    std::vector<wire::SessionReport> sessions;
    Reply reply;
  };

  struct PropagationWaiter {
    PropagationGoal goal;
    bool all_leases = false;
    Time until;
    std::function<void(bool)> done;
  };

  bool Ready() const;
  void Await(PropagationWaiter waiter);
  bool HasPropagated(const PropagationGoal& goal,
                     bool all_leases,
                     Time until) const;
  void CompleteWaiters();
  void Grant(const GrantRequest& request);
  void GrantDeferred();
  void UpdateStaged();
  void Decide();
  void FollowPropagation();

  net::EventLoop& loop_;
  ReplicaDriver& driver_;
  ActivationTracker tracker_;
  // Requests that wait until the decided activation is committed.
  std::vector<GrantRequest> deferred_grants_;
  uint64_t term_ = 0;  // in which this keeper leads; 0: none
  Revision staged_;    // last passed to the tracker
  std::vector<PropagationWaiter> waiters_;
  // When the nodes that follow any keeper have reported to a new leader.
  Time sessions_known_at_{};
  // Active revision, since when, and whether its propagation is still followed.
  Revision propagating_;
  Time propagating_since_{};
  bool propagated_ = true;
  net::Timer decision_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Returns the lease that the active file grants to nodes, or the default if no
/// file is active.
Duration ActiveLease(const ConfigHistory& config);

}  // namespace ibisvalve::control
