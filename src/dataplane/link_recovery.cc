#include "dataplane/link_recovery.h"

#include <utility>

namespace ibisvalve::dataplane {

using world::Outcome;
using world::Reason;

LinkRecovery::LinkRecovery(net::EventLoop& loop,
                           AttemptIndex& attempts,
                           GateClient& gates,
                           Duration interval,
                           Fail fail,
                           GateEnded gate_ended)
    : attempts_(attempts),
      gates_(gates),
      fail_(std::move(fail)),
      gate_ended_(std::move(gate_ended)),
      timer_(loop, [this] { RepeatQueries(); }) {
  timer_.StartPeriodic(interval);
}

void LinkRecovery::OnLinkFailed(const NodeId& gate,
                                uint64_t link,
                                LinkFailure failure) {
  const auto affected = attempts_.Select([&](const IngressAttempt& attempt) {
    return attempt.gate == gate && attempt.link == link;
  });
  for (const AttemptId& id : affected) {
    const AttemptIndex::Found found = attempts_.Find(id);
    if (found.attempt == nullptr) {
      continue;
    }
    IngressAttempt& attempt = *found.attempt;
    attempt.link = 0;
    const bool not_connected = failure == LinkFailure::kNotConnected ||
                               failure == LinkFailure::kRefused;
    const bool never_sent =
        not_connected && attempt.queries == 0 && !attempt.awaited;
    // A refused connection means that the gate process, which alone knew the
    // outcome, has exited. A gate behind a network partition may still reply
    // before the deadline.
    const bool gate_exited =
        failure == LinkFailure::kRefused && attempt.queries > 0;
    const bool retry_instead =
        attempt.queries > 0 && found.request->repeatable();
    if (gate_exited) {
      gate_ended_(found);
    }
    if (never_sent) {
      fail_(id, Outcome::kNotRun, Reason::kTargetDown);
    } else if (attempt.relay->committed() || retry_instead || gate_exited) {
      // A response that was partly sent to the caller cannot be resumed. A
      // repeatable request is retried elsewhere rather than queried again.
      fail_(id, Outcome::kUnknown, Reason::kLinkLost);
    } else if (attempt.queries > 0) {
      attempt.needs_query = true;  // repeated by the timer
    } else {
      SendQuery(id);
    }
  }
}

void LinkRecovery::SendQuery(const AttemptId& id) {
  IngressAttempt& attempt = *attempts_.Find(id).attempt;
  ++queries_;
  ++attempt.queries;
  attempt.needs_query = false;
  attempt.relay->Restart();
  if (!gates_.AssignNewLink(attempt)) {
    fail_(id, Outcome::kUnknown, Reason::kLinkLost);
    return;
  }
  gates_.Send(attempt,
              wire::QueryAttempt{attempt.awaited.value_or(attempt.id),
                                 attempt.gate_incarnation, attempt.id});
}

void LinkRecovery::RepeatQueries() {
  const auto waiting = attempts_.Select([](const IngressAttempt& attempt) {
    return attempt.needs_query && attempt.link == 0;
  });
  for (const AttemptId& id : waiting) {
    if (attempts_.Find(id).attempt != nullptr) {
      SendQuery(id);
    }
  }
}

}  // namespace ibisvalve::dataplane
