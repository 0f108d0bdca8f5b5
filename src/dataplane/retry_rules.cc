#include "dataplane/retry_rules.h"

namespace ibisvalve::dataplane {
namespace {

using world::Outcome;
using world::Reason;

// Refusals that cost no target anything may be retried a little further.
constexpr uint32_t kExtraFreeAttempts = 5;

// Another gate would say the same, or nobody waits for an answer.
bool IsFinal(Reason reason) {
  switch (reason) {
    case Reason::kKeyMismatch:
    case Reason::kKeyClaimed:
    case Reason::kNoQuorum:
    case Reason::kQuarantined:
    case Reason::kTooLarge:
    case Reason::kCancelled:
    case Reason::kBadRequest:
    case Reason::kUnknownService:
      return true;
    default:
      return false;
  }
}

}  // namespace

RetryRule RuleFor(Outcome outcome,
                  Reason reason,
                  bool repeatable,
                  bool under_retry,
                  const AttemptCount& count) {
  if (IsFinal(reason) || outcome == Outcome::kAnswered ||
      count.made >= count.max_offered + kExtraFreeAttempts) {
    return RetryRule::kNever;
  }
  const bool may_offer = !under_retry && count.offered < count.max_offered;
  if (outcome == Outcome::kUnknown) {
    return repeatable && may_offer ? RetryRule::kBudgeted : RetryRule::kNever;
  }
  if (reason == Reason::kRevision || reason == Reason::kGateRestarted) {
    return RetryRule::kSoon;
  }
  // What no target has seen yet may go on until one has.
  if (count.offered == 0) {
    return RetryRule::kFree;
  }
  return may_offer ? RetryRule::kBudgeted : RetryRule::kNever;
}

}  // namespace ibisvalve::dataplane
