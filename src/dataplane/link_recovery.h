#pragma once

#include <cstdint>
#include <functional>

#include "dataplane/attempt_index.h"
#include "dataplane/gate_client.h"
#include "dataplane/mesh_link.h"
#include "net/net.h"

namespace ibisvalve::dataplane {

/// Finds out what became of attempts whose link was lost or went silent, by
/// asking their gates over new links.
class LinkRecovery {
 public:
  using Fail = std::function<
      void(const AttemptId& id, world::Outcome outcome, world::Reason reason)>;

  /// `fail` is told of attempts that are over. Gates that can't be asked are
  /// asked again every `interval`.
  LinkRecovery(net::EventLoop& loop,
               AttemptIndex& attempts,
               GateClient& gates,
               Duration interval,
               Fail fail);

  /// Link number `link` to `gate` is of no more use.
  void OnLinkDown(const NodeId& gate, uint64_t link, LinkLoss loss);
  /// Returns how often a gate was asked.
  uint64_t queries() const { return queries_; }

 private:
  void Ask(const AttemptId& id);
  void AskAgain();

  AttemptIndex& attempts_;
  GateClient& gates_;
  Fail fail_;
  uint64_t queries_ = 0;
  net::Timer timer_;
};

}  // namespace ibisvalve::dataplane
