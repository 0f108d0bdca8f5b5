#pragma once

#include <cstdint>
#include <functional>

#include "dataplane/attempt_index.h"
#include "dataplane/gate_client.h"
#include "dataplane/mesh_link.h"
#include "net/net.h"

namespace ibisvalve::dataplane {

/// Determines the outcome of attempts whose link was lost or went silent by
/// querying their gates over new links.
class LinkRecovery {
 public:
  using Fail = std::function<
      void(const AttemptId& id, world::Outcome outcome, world::Reason reason)>;

  /// Reports that the gate of an attempt has ended while it had the attempt.
  using GateEnded = std::function<void(const AttemptIndex::Found& found)>;

  /// Calls `fail` for each attempt that ended without a response, and
  /// `gate_ended` before it if the gate's host refuses connections. Queries
  /// that got no reply because their link failed too are repeated every
  /// `interval`.
  LinkRecovery(net::EventLoop& loop,
               AttemptIndex& attempts,
               GateClient& gates,
               Duration interval,
               Fail fail,
               GateEnded gate_ended);

  /// Handles the failure of link number `link` to `gate`: fails the attempts on
  /// it or queries the gate about them.
  void OnLinkFailed(const NodeId& gate, uint64_t link, LinkFailure failure);
  /// Returns the number of queries sent.
  uint64_t queries() const { return queries_; }

 private:
  void SendQuery(const AttemptId& id);
  void RepeatQueries();

  AttemptIndex& attempts_;
  GateClient& gates_;
  Fail fail_;
  GateEnded gate_ended_;
  uint64_t queries_ = 0;
  net::Timer timer_;
};

}  // namespace ibisvalve::dataplane
