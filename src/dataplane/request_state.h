#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dataplane/caller_exchange.h"
#include "dataplane/caller_terms.h"
#include "dataplane/gate_reply.h"
#include "dataplane/memory_budget.h"
#include "dataplane/response_relay.h"
#include "net/net.h"
#include "policy/policy.h"
#include "world/world.h"

namespace ibisvalve::dataplane {

/// After its deadline, a response that is being streamed is aborted when
/// nothing more has come from the target for this long.
inline constexpr Duration kTargetStallTimeout = std::chrono::milliseconds(250);

/// State that the ingress keeps of one attempt.
struct IngressAttempt {
  AttemptId id;
  NodeId gate;
  Incarnation gate_incarnation;  // of the gate when the attempt was sent
  uint64_t link = 0;             // mesh link number; 0: none, or the local gate
  Time started;
  // Of the run, as reported by the gate.
  Duration service_time{0};
  double slowdown = 1;
  bool hedge = false;
  // The attempt whose response this one waits for instead of running itself.
  std::optional<AttemptId> awaited;
  uint32_t queries = 0;      // number of queries sent to the gate about it
  bool needs_query = false;  // LinkRecovery repeats the query at its next tick
  size_t body_sent = 0;
  uint64_t body_credit = 0;  // bytes of the body that may still be sent
  std::unique_ptr<ResponseRelay> relay;
};

/// State that the ingress keeps of one caller's request until it has ended.
struct RequestState {
  uint64_t number = 0;
  std::shared_ptr<CallerExchange> exchange;
  std::shared_ptr<const world::Fleet> fleet;  // owns `terms.service`
  CallerTerms terms;
  Time arrived;
  Time
      first_arrival;  // of the caller's first attempt, if it was refused before
  Time deadline;
  std::unique_ptr<net::Timer> deadline_timer;
  std::unique_ptr<net::Timer> retry_timer;
  std::unique_ptr<net::Timer> hedge_timer;
  std::vector<std::unique_ptr<IngressAttempt>> attempts;  // in flight
  std::set<NodeId> tried;
  uint32_t attempts_made = 0;     // attempts so far, including refused ones
  uint32_t attempts_offered = 0;  // attempts that may have reached a target
  // Targets that closed the connection while they were running the request.
  uint32_t broken_targets = 0;
  bool may_have_run = false;  // the outcome of an attempt is unknown
  bool committed = false;     // part of a response was sent to the caller
  bool hedged = false;
  bool returned = false;                // its caller was refused before
  std::optional<Time> quota_token;      // expiry of the token that it has taken
  std::optional<Duration> quota_retry;  // until its workspace has a token
  bool in_grace = false;  // past its deadline, waiting for the gate's outcome
  // Bytes of the response at the last check for a stall, which starts at the
  // deadline, and when they were first seen.
  std::optional<uint64_t> progress_bytes;
  Time progress_at{};
  world::Reason reason = world::Reason::kNone;  // of the last failure
  // For `terms.kind`; owned by the ingress.
  policy::ServiceTimeEstimate* service_time_estimate = nullptr;
  uint16_t first_status = 0;  // status of the key's first run; 0: unknown

  /// Returns when the response should arrive by the latency objective.
  Time objective() const { return first_arrival + terms.objective; }
  /// Returns when the caller gives up, by its own deadline if it sent one.
  Time caller_deadline() const {
    return terms.caller_deadline == Duration(0)
               ? deadline
               : arrived + terms.caller_deadline;
  }
  /// Returns the expected service time at a target of normal pace.
  Duration ExpectedServiceTime() const {
    return service_time_estimate->ExpectedFor(terms.objective);
  }
  /// Returns whether the response has stalled, as seen at regular checks:
  /// nothing more has come from the target for 250 ms, or, while the caller has
  /// not read what was sent to it, for 10 s.
  bool HasStalled(Time now);
  bool repeatable() const {
    return terms.terms.repeat == world::Repeat::kAllowed;
  }
};

}  // namespace ibisvalve::dataplane
