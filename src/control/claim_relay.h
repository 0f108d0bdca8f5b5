#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "control/keeper_links.h"
#include "control/leader_relay.h"
#include "control/replica_driver.h"

namespace ibisvalve::control {

/// Takes claims of nodes to the leader's log and their answers back.
class ClaimRelay {
 public:
  using ClaimDone = std::function<void(const wire::ClaimReply&)>;
  using SettleDone = std::function<void(const wire::SettleReply&)>;

  ClaimRelay(ReplicaDriver& driver, KeeperLinks& links, LeaderRelay& relay);

  /// A node asks; `done` gets the answer with the node's call number.
  void OnClaim(const wire::ClaimRequest& request, ClaimDone done);
  /// A node settles; `done` is called once that is committed, or never.
  void OnSettle(const wire::ClaimSettle& settle, SettleDone done);
  /// Another keeper passed a node's request on: answered only while leading.
  void OnForwarded(const wire::ClaimRequest& request, ClaimDone done);
  void OnForwarded(const wire::ClaimSettle& settle, SettleDone done);
  /// The leader answers what was passed on to it.
  void OnReply(const wire::ClaimReply& reply);
  void OnReply(const wire::SettleReply& reply);
  /// Returns how many claims this keeper has answered.
  uint64_t answered() const { return answered_; }

 private:
  struct Asked {
    uint64_t call;  // of the node
    ClaimDone done;
  };
  using Settling = std::pair<wire::RequestKey, wire::ClaimHolder>;

  void Answer(uint64_t number, wire::ClaimReply reply);

  ReplicaDriver& driver_;
  KeeperLinks& links_;
  LeaderRelay& relay_;
  std::map<uint64_t, Asked> asked_;  // by call of the relay
  std::map<Settling, std::pair<uint64_t, SettleDone>> settling_;
  uint64_t answered_ = 0;
};

}  // namespace ibisvalve::control
