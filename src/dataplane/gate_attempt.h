#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "claims/claims.h"
#include "dataplane/gate_reply.h"
#include "dataplane/memory_budget.h"
#include "dataplane/response_sender.h"
#include "dataplane/target_client.h"
#include "net/net.h"
#include "wire/wire.h"

namespace ibisvalve::dataplane {

/// Stage of an attempt at its gate.
enum class AttemptStage : uint8_t {
  kReceiving,  // not admitted yet: its body is not complete, or a load probe
               // is in progress
  kQueued,     // waits for a slot
  kClaiming,   // holds a slot, waits for the claim of its idempotency key
  kRunning,    // sent to the target
  kSending,    // the target has finished; the response is not fully sent
};

/// A further ingress that waits for the response to a keyed request.
struct ResponseFollower {
  AttemptId reply_as;
  ReplyPort port;
};

/// An attempt at its gate, from its arrival until it has finished.
struct GateAttempt {
  wire::OpenAttempt open;  // its body is extended by each further part
  ReplyPort port;          // `send` is null while the ingress has no link
  AttemptStage stage = AttemptStage::kReceiving;
  Time deadline;
  Time objective;  // latency objective: the response should arrive by then
  Time opened;     // when the attempt arrived, without the rest of its body
  // Time that another gate would need for the body again; 0 for small bodies.
  Duration redirect_cost{0};
  Time dispatched;          // when the request was sent to the target
  Time connection_opened;   // that it was sent on
  uint64_t target_run = 0;  // of the target that it was sent to
  double slowdown = 1;      // last reported by the target before the dispatch
  MemoryReservation memory;
  std::unique_ptr<net::Timer> deadline_timer;
  std::unique_ptr<TargetCall> call;
  // Null until the head of the response arrives.
  std::unique_ptr<ResponseSender> response;
  // Copy of the response to be stored; null before the dispatch, and once the
  // response exceeds kMaxBufferedResponseBytes.
  std::shared_ptr<claims::StoredResponse> stored_response;
  std::vector<ResponseFollower> followers;
  bool awaits_load_probe = false;  // is admitted when the load probe ends
  bool crash_counted = false;      // its run counts for a crash of the target
  bool declined = false;  // the target responded that it did not run it

  /// Returns whether an idempotency key must be claimed before it runs.
  bool keyed() const { return !open.key.empty() && !open.may_repeat; }
  /// Returns the idempotency key that it claims.
  wire::RequestKey key() const { return {open.service, open.key}; }
  /// Returns whether the target may have received it.
  bool may_have_reached_target() const {
    return stage == AttemptStage::kRunning || stage == AttemptStage::kSending;
  }
  /// Returns whether it has not been given a slot yet. Not the opposite of
  /// holds_slot(): a response that is being sent needs no slot any more.
  bool awaits_slot() const {
    return stage == AttemptStage::kReceiving || stage == AttemptStage::kQueued;
  }
  /// Returns whether it holds a slot of the target.
  bool holds_slot() const {
    return stage == AttemptStage::kClaiming || stage == AttemptStage::kRunning;
  }
};

}  // namespace ibisvalve::dataplane
