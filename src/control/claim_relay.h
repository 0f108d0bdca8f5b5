#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "control/keeper_links.h"
#include "control/leader_relay.h"
#include "control/replica_driver.h"

namespace ibisvalve::control {

/// Forwards claims of nodes to the leader, which appends them to the log, and
/// returns the replies to the nodes.
class ClaimRelay {
 public:
  using ClaimDone = std::function<void(const wire::ClaimReply&)>;
  using SettleDone = std::function<void(const wire::SettleReply&)>;

  ClaimRelay(ReplicaDriver& driver, KeeperLinks& links, LeaderRelay& relay);

  /// Handles a claim of a node. `done` receives the reply with the node's call
  /// number; the verdict is kUnavailable if no leader answers in time.
  void OnClaim(const wire::ClaimRequest& request, ClaimDone done);
  /// Handles the settling of a claim by a node. `done` is called once the
  /// settling is committed, or never.
  void OnSettle(const wire::ClaimSettle& settle, SettleDone done);
  /// Proposes a request that another keeper forwarded. `done` is called only if
  /// this keeper leads and the command is committed.
  void OnForwarded(const wire::ClaimRequest& request, ClaimDone done);
  void OnForwarded(const wire::ClaimSettle& settle, SettleDone done);
  /// Passes the leader's reply to a forwarded request on to the node.
  void OnReply(const wire::ClaimReply& reply);
  void OnReply(const wire::SettleReply& reply);
  /// Returns the number of claims that this keeper has answered.
  uint64_t answered() const { return answered_; }

 private:
  struct PendingClaim {
    uint64_t call;  // call number chosen by the node
    ClaimDone done;
  };
  using ClaimId = std::pair<wire::RequestKey, wire::ClaimHolder>;

  void Complete(uint64_t number, wire::ClaimReply reply);

  ReplicaDriver& driver_;
  KeeperLinks& links_;
  LeaderRelay& relay_;
  // By call number of the relay.
  std::map<uint64_t, PendingClaim> pending_claims_;
  std::map<ClaimId, std::pair<uint64_t, SettleDone>> pending_settles_;
  uint64_t answered_ = 0;
};

}  // namespace ibisvalve::control
