#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "control/file_terms.h"
#include "control/keeper_links.h"
#include "control/leader_relay.h"
#include "control/replica_driver.h"
#include "net/net.h"
#include "policy/policy.h"

namespace ibisvalve::control {

/// Grants nodes the tokens of the workspaces' quotas. A keeper batches the
/// questions of its nodes and sends them to the leader. The leader holds the
/// buckets in memory, and grants only after a quorum has confirmed, after a
/// question arrived, that it still leads. So no two keepers grant the same
/// token. Runs on the event loop.
class QuotaGrants {
 public:
  using Reply = std::function<void(const wire::QuotaReply&)>;
  using BatchReply = std::function<void(const wire::QuotaReplies&)>;

  /// All references must outlive the object.
  QuotaGrants(net::EventLoop& loop,
              ReplicaDriver& driver,
              KeeperLinks& links,
              const LeaderRelay& relay,
              FileTerms& terms);

  /// Handles the question of a node. `reply` is not called if no leader can be
  /// reached; the node asks again.
  void OnRequest(const wire::QuotaRequest& request, Reply reply);
  /// Handles the questions that another keeper forwarded. `reply` is called
  /// only if this keeper leads and a quorum confirms it.
  void OnForwarded(const wire::QuotaRequests& batch, BatchReply reply);
  /// Handles the leader's replies to forwarded questions.
  void OnReplies(const wire::QuotaReplies& replies);
  /// Handles a change of the replicated state or of this keeper's role: buckets
  /// fill from the time at which a keeper leads or a quota is active.
  void OnApplied();
  /// Returns the number of tokens granted by this keeper.
  uint64_t granted() const { return granted_; }

 private:
  struct Pending {
    uint64_t call = 0;  // chosen by the node
    Time at{};
    Reply reply;
  };

  void Flush();
  void Grant(const wire::QuotaRequests& batch, const BatchReply& reply);
  void UpdateBuckets();

  net::EventLoop& loop_;
  ReplicaDriver& driver_;
  KeeperLinks& links_;
  const LeaderRelay& relay_;
  FileTerms& terms_;
  wire::QuotaRequests batch_;            // not sent yet
  std::map<uint64_t, Pending> pending_;  // by own call number
  uint64_t next_call_ = 1;
  policy::TokenBuckets buckets_;
  uint64_t term_ = 0;  // for which the buckets hold
  Revision revision_;  // of their quotas
  uint64_t granted_ = 0;
  net::Timer batch_timer_;
};

}  // namespace ibisvalve::control
