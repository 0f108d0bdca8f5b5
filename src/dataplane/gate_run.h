#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "claims/claims.h"
#include "dataplane/answer_sender.h"
#include "dataplane/gate_reply.h"
#include "dataplane/memory_budget.h"
#include "dataplane/target_client.h"
#include "net/net.h"
#include "wire/wire.h"

namespace ibisvalve::dataplane {

/// How far an attempt has come at its gate.
enum class RunStage : uint8_t {
  kReceiving,  // its body is still coming
  kQueued,     // waits for a slot
  kClaiming,   // has a slot, waits for its key
  kRunning,    // the target has it
  kSending,    // the target is done; the ingress has not taken all of it
};

/// One more ingress that waits for the answer of a keyed request.
struct RunFollower {
  AttemptId reply_as;
  ReplyPort port;
};

/// One attempt at its gate, from its arrival until it is over.
struct GateRun {
  wire::OpenAttempt open;  // with the whole body once it has come
  ReplyPort port;          // `send` is null while no link reaches the ingress
  RunStage stage = RunStage::kReceiving;
  Time deadline;
  Time objective;  // the answer should come by then
  Time dispatched;
  double slowdown = 1;  // that the target had told as it was dispatched
  MemoryShare memory;
  std::unique_ptr<net::Timer> deadline_timer;
  std::unique_ptr<TargetCall> call;
  std::unique_ptr<AnswerSender> answer;      // once the target's head has come
  std::shared_ptr<claims::KeptAnswer> kept;  // null once it is too large
  std::vector<RunFollower> followers;
  bool awaits_load = false;  // is admitted once the target has told its load
  bool declined = false;     // the target says that it does not run it

  /// Returns whether a key must be claimed before it runs.
  bool keyed() const { return !open.key.empty() && !open.may_repeat; }
  /// Returns the key that it claims.
  wire::RequestKey key() const { return {open.service, open.key}; }
  /// Returns whether the target may have seen it.
  bool reached() const {
    return stage == RunStage::kRunning || stage == RunStage::kSending;
  }
  /// Returns whether it holds a slot at the target.
  bool holds_slot() const {
    return stage == RunStage::kClaiming || stage == RunStage::kRunning;
  }
};

}  // namespace ibisvalve::dataplane
