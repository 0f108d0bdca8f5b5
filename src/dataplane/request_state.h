#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dataplane/answer_relay.h"
#include "dataplane/caller_exchange.h"
#include "dataplane/caller_terms.h"
#include "dataplane/gate_reply.h"
#include "dataplane/memory_budget.h"
#include "net/net.h"
#include "policy/policy.h"
#include "world/world.h"

namespace ibisvalve::dataplane {

/// One attempt of a request, as its ingress knows it.
struct IngressAttempt {
  AttemptId id;
  NodeId gate;
  Incarnation gate_incarnation;  // the run of the gate that it was sent to
  uint64_t link = 0;             // 0: the gate of this node
  Time started;
  // Of the run that is answered, by its gate.
  Duration ran{0};
  double slowdown = 1;
  bool hedge = false;
  // The attempt whose answer this one waits for, in place of running itself.
  std::optional<AttemptId> follows;
  uint32_t queries = 0;      // how often the gate was asked about it
  bool needs_query = false;  // the gate is to be asked at the next tick
  size_t body_sent = 0;
  uint64_t body_credit = kInitialCredit;
  std::unique_ptr<AnswerRelay> relay;
};

/// One request of a caller at its ingress, until it is answered.
struct RequestState {
  uint64_t number = 0;
  std::shared_ptr<CallerExchange> exchange;
  std::shared_ptr<const world::Fleet> fleet;  // holds `terms.service`
  CallerTerms terms;
  Time arrived;
  Time deadline;
  MemoryReservation memory;
  std::unique_ptr<net::Timer> deadline_timer;
  std::unique_ptr<net::Timer> retry_timer;
  std::unique_ptr<net::Timer> hedge_timer;
  std::vector<std::unique_ptr<IngressAttempt>> attempts;  // in flight
  std::set<NodeId> tried;
  uint32_t made = 0;       // attempts so far, refused ones included
  uint32_t offered = 0;    // attempts that a target may have been sent
  uint32_t broke = 0;      // targets that broke off while they ran it
  bool maybe_ran = false;  // the outcome of one is unknown
  bool committed = false;  // the caller has been sent part of an answer
  bool hedged = false;
  bool grace = false;     // past its deadline, waits for the gate's verdict
  uint64_t progress = 0;  // bytes of the answer at the last look
  world::Reason reason = world::Reason::kNone;  // of the last failure
  policy::ServiceTimeEstimate* work =
      nullptr;                // of its kind; lives as the ingress
  uint16_t first_status = 0;  // of the first run of its key, if known

  /// Returns how long its run should take at a target of usual pace.
  Duration ExpectedWork() const { return work->ExpectedFor(terms.objective); }
  bool repeatable() const {
    return terms.terms.repeat == world::Repeat::kAllowed;
  }
};

}  // namespace ibisvalve::dataplane
