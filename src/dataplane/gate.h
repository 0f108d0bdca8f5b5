#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "claims/claims.h"
#include "dataplane/body_receiver.h"
#include "dataplane/crash_tracker.h"
#include "dataplane/gate_attempt.h"
#include "dataplane/gate_log.h"
#include "dataplane/gate_reply.h"
#include "dataplane/key_claims.h"
#include "dataplane/load_tracker.h"
#include "dataplane/memory_budget.h"
#include "dataplane/node_plane.h"
#include "dataplane/target_client.h"
#include "dataplane/target_limit.h"
#include "dataplane/uplink_schedule.h"
#include "policy/policy.h"

namespace ibisvalve::dataplane {

/// Counters of a gate, for metrics.
struct GateCounts {
  uint64_t dispatched = 0;  // requests sent to the target
  uint64_t answered = 0;    // attempts with a complete response
  uint64_t refused = 0;     // attempts that were not run
  uint64_t unknown = 0;     // attempts with an unknown outcome
  uint64_t fenced = 0;      // queries answered with a fence
  uint64_t cancelled = 0;   // cancels of attempts in flight

  /// Counts the end of an attempt.
  void Add(world::Outcome outcome) {
    ++(outcome == world::Outcome::kAnswered ? answered
       : outcome == world::Outcome::kNotRun ? refused
                                            : unknown);
  }

  auto operator<=>(const GateCounts&) const = default;
};

/// Admits attempts to the local target, runs them, and records their outcomes.
/// Reply ports are called on the event loop, in part from within the gate's own
/// methods.
class Gate {
 public:
  struct Handlers {
    /// Called when an ingress is at a higher revision than this node.
    std::function<void(Revision seen)> on_newer_revision;
    /// Called when the target could not be reached or broke the connection.
    std::function<void()> on_target_fault;
    /// Called when the slowdown has changed so much that ingresses must be
    /// notified at once.
    std::function<void()> on_load_changed;
    /// Called when another target than the expected one responded at the local
    /// target's address.
    std::function<void()> on_target_replaced;
    /// Called when the target says that it leaves.
    std::function<void()> on_target_leaves;
    /// Returns whether the current run of the target has announced its
    /// departure, so that it ends by itself.
    std::function<bool()> target_departs;
  };

  /// Creates the gate. All references must outlive it.
  Gate(net::EventLoop& loop,
       const PlaneSettings& settings,
       const FleetView& view,
       ClaimPort& claims,
       MemoryBudget& memory,
       CrashTracker& crashes,
       Handlers handlers);
  ~Gate();
  Gate(const Gate&) = delete;
  Gate& operator=(const Gate&) = delete;

  /// Handles an ingress's request to run an attempt. Replies to a repeated
  /// request with the recorded state of the attempt.
  void Open(const wire::OpenAttempt& open, const ReplyPort& port);
  /// Handles a further part of a request's body.
  void AddBody(const wire::BodyPart& part);
  /// Cancels an attempt whose response the ingress no longer needs. An attempt
  /// with an idempotency key that has reached the target still runs to its end.
  void Cancel(const AttemptId& id);
  /// Adds credit to send more of a response.
  void AddCredit(const wire::Credit& credit);
  /// Replies with the state of an attempt. Fences one that was never received.
  void Query(const wire::QueryAttempt& query, const ReplyPort& port);
  /// Handles the loss of `link`: nothing more is sent on it, and attempts that
  /// were being transferred over it fail.
  void OnLinkLost(uint64_t link);

  /// Returns whether an attempt in flight sends its response on `link`.
  bool HasAttemptsOnLink(uint64_t link) const;

  /// Sets the target's state and slots. Fails the attempts that hold no slot if
  /// the target is not ready.
  void SetTargetState(world::TargetState state, uint32_t slots);
  /// Sets whether nothing may run yet, as it is not known which runs of the
  /// target have departed. Attempts are refused as if the target were down.
  void SetHeld(bool held) { held_ = held; }
  bool held() const { return held_; }
  /// Sets the run of the target, by its number and identity, that may run
  /// requests from now on. Closes idle connections to a previous one; what that
  /// still says about itself is ignored.
  void SetTargetRun(uint64_t run, const std::string& identity);
  /// Records that the target announced to stay cold for `left`.
  void OnAnnouncedCold(Duration left) { target_limit_.OnAnnouncedCold(left); }
  /// Returns whether the target is cold and limited for that reason.
  bool cold() const { return target_limit_.cold(); }
  /// Refuses the attempts that hold no slot of the target yet.
  void RefuseWaiting(world::Reason reason);
  /// Handles that the target has ended, though its connections may still look
  /// open: what it was running, or had not answered before, may have ended it,
  /// unless it had announced its departure (`departed`). Each run counts once,
  /// however often this is called.
  void OnTargetEnded(bool departed);
  /// Returns the load hint that is attached to responses.
  wire::LoadHint Hint() const;
  /// Sets the path at which the target reports its load; empty: none.
  void SetLoadPath(const std::string& path) { load_.SetPath(path); }
  /// Requests the load of a ready target, unless the target has reported it
  /// since `since` or a probe is in progress. The health status in that
  /// response is ignored.
  void ProbeLoad(Time since);
  /// Returns the number of load probes sent to the target.
  uint64_t probes() const { return load_.probes(); }
  /// Returns the number of attempts that are not finished.
  size_t in_flight() const { return in_flight_.size(); }
  /// Returns the number of attempts that hold a slot of the target.
  uint32_t running() const { return admission_.in_flight(); }
  /// Returns the tracker of requests that crashed targets.
  CrashTracker& crashes() { return crashes_; }
  const GateCounts& counts() const { return counts_; }
  const claims::AttemptTable& attempts() const { return attempt_table_; }

 private:
  void Refuse(const wire::OpenAttempt& open,
              const ReplyPort& port,
              world::Reason reason);
  void ReplyFromTable(const AttemptId& id,
                      const AttemptId& reply_as,
                      claims::AttemptPhase phase,
                      const ReplyPort& port);
  void Send(const claims::FinishedAttempt& finished,
            const AttemptId& reply_as,
            const ReplyPort& port,
            const world::CrashRecord& crashes = {}) const;
  void ReceiveBody(GateAttempt& attempt);
  void ProbeAndAdmit(GateAttempt& attempt);
  void AdmitProbed();
  void WatchSlowPhase();
  bool SlowdownMissesObjective(const GateAttempt& attempt) const;
  void Admit(GateAttempt& attempt);
  void ApplyReleases(const std::vector<policy::Admission::Release>& released);
  void ApplyDecision(GateAttempt& attempt,
                     const policy::Admission::Decision& decision);
  void ClaimKey(GateAttempt& attempt);
  bool OnClaimed(const AttemptId& id, const wire::ClaimReply& reply);
  void Dispatch(GateAttempt& attempt);
  void OnTargetHead(const AttemptId& id, const TargetHead& head);
  void OnTargetData(const AttemptId& id, const std::string& bytes);
  void OnTargetEnd(const AttemptId& id);
  void SendReply(const AttemptId& id, const GateReply& reply);
  void QueueSlice(const GateAttempt& attempt);
  void SendSlices();
  void FinishIfSent(const AttemptId& id);
  void OnTargetFault(const AttemptId& id,
                     TargetFault fault,
                     const std::string& why);
  void OnDeadline(const AttemptId& id);
  void ReleaseSlot(GateAttempt& attempt,
                   uint16_t status,
                   policy::RunResult end);
  void Fail(GateAttempt& attempt, world::Outcome outcome, world::Reason reason);
  void Finish(GateAttempt& attempt, claims::FinishedAttempt finished);
  wire::ClaimHolder ClaimHolderOf(const GateAttempt& attempt) const;
  void CheckQueue();
  GateAttempt* Find(const AttemptId& id);
  GateLogContext LogContext() const {
    return {admission_, load_, target_state_, settings_.names};
  }

  net::EventLoop& loop_;
  const PlaneSettings& settings_;
  const FleetView& view_;
  KeyClaims claims_;
  MemoryBudget& memory_;
  Handlers handlers_;
  CrashTracker& crashes_;
  world::TargetState target_state_ = world::TargetState::kNone;
  bool held_ = false;
  uint64_t target_run_ = 0;
  std::string target_identity_;
  policy::UnansweredRuns unanswered_;
  policy::Admission admission_;
  claims::AttemptTable attempt_table_;
  std::unique_ptr<TargetClient> client_;  // null without a target
  std::unordered_map<AttemptId, std::unique_ptr<GateAttempt>> in_flight_;
  net::Timer queue_timer_;
  net::Timer slow_phase_timer_;
  UplinkSchedule uplink_;
  net::Timer slice_timer_;
  LoadTracker load_;
  TargetLimit target_limit_;
  BodyReceiver bodies_;
  GateCounts counts_;
};

}  // namespace ibisvalve::dataplane
