#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "claims/claims.h"
#include "dataplane/crash_watch.h"
#include "dataplane/gate_log.h"
#include "dataplane/gate_reply.h"
#include "dataplane/gate_run.h"
#include "dataplane/key_claims.h"
#include "dataplane/load_watch.h"
#include "dataplane/memory_budget.h"
#include "dataplane/node_plane.h"
#include "dataplane/target_client.h"
#include "policy/policy.h"

namespace ibisvalve::dataplane {

/// What a gate counts for metrics.
struct GateCounts {
  uint64_t dispatched = 0;  // requests sent to the target
  uint64_t answered = 0;
  uint64_t refused = 0;  // not run
  uint64_t unknown = 0;
  uint64_t fenced = 0;
  uint64_t cancelled = 0;

  auto operator<=>(const GateCounts&) const = default;
};

/// Decides what runs at the target beside this node, runs it, and knows what
/// became of it. Calls of a reply port are made on the loop, some of them from
/// inside the gate's own methods.
class Gate {
 public:
  struct Handlers {
    /// An ingress is at a higher revision than this node.
    std::function<void(Revision seen)> on_newer_revision;
    /// The target could not be reached or broke off.
    std::function<void()> on_target_fault;
    /// The load has changed so much that ingresses should know at once.
    std::function<void()> on_load;
    /// Another target than this node's own answered at its address.
    std::function<void()> on_replaced;
    /// The target broke off: the other gates of its service must know.
    std::function<void(const wire::CrashNotice& notice)> on_crash;
  };

  /// All references must outlive the gate.
  Gate(net::EventLoop& loop,
       const PlaneSettings& settings,
       const FleetView& view,
       ClaimPort& claims,
       MemoryBudget& memory,
       Handlers handlers);
  ~Gate();
  Gate(const Gate&) = delete;
  Gate& operator=(const Gate&) = delete;

  /// An ingress asks to run an attempt.
  void Open(const wire::OpenAttempt& open, const ReplyPort& port);
  /// More of a request's body.
  void AddBody(const wire::BodyPart& part);
  /// The ingress no longer wants the answer.
  void Cancel(const AttemptId& id);
  /// The ingress takes more of an answer.
  void AddCredit(const wire::Credit& credit);
  /// The ingress asks what became of an attempt.
  void Query(const wire::QueryAttempt& query, const ReplyPort& port);
  /// The link `link` is gone: nothing can be sent on it any more.
  void OnLinkLost(uint64_t link);

  /// Returns whether an attempt in flight is answered on `link`.
  bool HasAttemptsOf(uint64_t link) const;

  /// What the target is ready for.
  void SetTargetState(world::TargetState state, uint32_t slots);
  /// Only the target with `identity` may run requests from now on.
  void SetTargetIdentity(const std::string& identity);
  /// Returns the load, as it rides on answers.
  wire::LoadHint Hint() const;
  /// Sets where the target tells its load; empty: nowhere.
  void SetLoadPath(const std::string& path) { load_.SetPath(path); }
  /// Asks the target for its load, unless it has told it since `since`. What
  /// it says of its health there decides nothing.
  void ProbeLoad(Time since);
  /// Returns how often the target was asked for its load.
  uint64_t probes() const { return load_.probes(); }
  /// Returns how many attempts are not over.
  size_t in_flight() const { return runs_.size(); }
  uint32_t running() const { return admission_.in_flight(); }
  /// Returns what is known of requests that broke targets.
  CrashWatch& crashes() { return crashes_; }
  const GateCounts& counts() const { return counts_; }
  const claims::AttemptTable& attempts() const { return attempts_; }

 private:
  void Refuse(const wire::OpenAttempt& open,
              const ReplyPort& port,
              world::Reason reason);
  void ReplyKnown(const AttemptId& id,
                  const AttemptId& reply_as,
                  claims::AttemptPhase phase,
                  const ReplyPort& port);
  void Send(const claims::FinishedAttempt& finished,
            const AttemptId& reply_as,
            const ReplyPort& port) const;
  void AdmitByLoad(GateRun& run);
  void AdmitWaiting();
  bool IsSlowFor(const GateRun& run) const;
  void Admit(GateRun& run);
  void Apply(const std::vector<policy::Admission::Release>& released);
  void Decide(GateRun& run, const policy::Admission::Decision& decision);
  void Claim(GateRun& run);
  bool OnClaimed(const AttemptId& id, const wire::ClaimReply& reply);
  void Dispatch(GateRun& run);
  void OnTargetHead(const AttemptId& id, const TargetHead& head);
  void OnTargetData(const AttemptId& id, const std::string& bytes);
  void OnTargetEnd(const AttemptId& id);
  void FinishIfSent(const AttemptId& id);
  void OnTargetFault(const AttemptId& id,
                     TargetFault fault,
                     const std::string& why);
  void OnDeadline(const AttemptId& id);
  void EndCall(GateRun& run, uint16_t status, policy::RunResult end);
  void Fail(GateRun& run, world::Outcome outcome, world::Reason reason);
  void Finish(GateRun& run, claims::FinishedAttempt finished);
  void Count(const claims::FinishedAttempt& finished);
  wire::ClaimHolder HolderOf(const GateRun& run) const;
  void ExpireQueue();
  GateRun* Find(const AttemptId& id);
  GateView View() const {
    return {admission_, load_, target_state_, settings_.names};
  }

  net::EventLoop& loop_;
  const PlaneSettings& settings_;
  const FleetView& view_;
  KeyClaims claims_;
  MemoryBudget& memory_;
  Handlers handlers_;
  CrashWatch crashes_;
  world::TargetState target_state_ = world::TargetState::kNone;
  std::string target_identity_;
  policy::Admission admission_;
  claims::AttemptTable attempts_;
  std::unique_ptr<TargetClient> client_;  // null without a target
  std::unordered_map<AttemptId, std::unique_ptr<GateRun>> runs_;
  net::Timer queue_timer_;
  LoadWatch load_;
  GateCounts counts_;
};

}  // namespace ibisvalve::dataplane
