#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "control/activation_tracker.h"
#include "control/replica_driver.h"
#include "net/net.h"

namespace ibisvalve::control {

/// What only the leader does for nodes: confirms their leases by a read that a
/// majority has confirmed, and puts staged files in force or gives them up.
class LeaderDuties {
 public:
  using Reply = std::function<void(const wire::SessionGrants&)>;

  LeaderDuties(net::EventLoop& loop, ReplicaDriver& driver);
  ~LeaderDuties() { *alive_ = false; }
  LeaderDuties(const LeaderDuties&) = delete;
  LeaderDuties& operator=(const LeaderDuties&) = delete;

  /// Takes heartbeats of nodes; `reply` gets their grants, or nothing where
  /// this keeper does not lead.
  void OnReports(const wire::SessionReports& reports, Reply reply);
  /// The role of this keeper may have changed.
  void OnRole();
  /// The replicated state has changed. Returns whether this keeper has become a
  /// leader that knows everything committed.
  bool OnApplied();
  /// Returns every node known to this leader.
  const ActivationTracker& tracker() const { return tracker_; }

 private:
  struct Waiting {
    std::vector<wire::SessionReport> sessions;
    Reply reply;
  };

  bool Ready() const;
  void Grant(const Waiting& waiting);
  void GrantHeld();
  void FollowStaged();
  void Decide();

  net::EventLoop& loop_;
  ReplicaDriver& driver_;
  ActivationTracker tracker_;
  std::vector<Waiting> held_;  // while an activation is being committed
  uint64_t term_ = 0;          // led; 0: none
  Revision staged_;            // that the tracker knows
  net::Timer tick_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Returns the lease that nodes have at present, by the file in force.
Duration PresentLease(const ConfigHistory& config);

}  // namespace ibisvalve::control
