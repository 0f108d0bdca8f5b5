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
                  uint32_t made,
                  uint32_t max_attempts) {
  if (IsFinal(reason) || outcome == Outcome::kAnswered) {
    return RetryRule::kNever;
  }
  if (outcome == Outcome::kUnknown) {
    return repeatable && !under_retry && made < max_attempts
               ? RetryRule::kBudgeted
               : RetryRule::kNever;
  }
  switch (reason) {
    case Reason::kRevision:
    case Reason::kGateRestarted:
      return RetryRule::kSoon;
    case Reason::kDraining:
    case Reason::kTargetDown:
    case Reason::kIsolated:
    case Reason::kNoTarget:
    case Reason::kFenced:
      return made < max_attempts + kExtraFreeAttempts ? RetryRule::kFree
                                                      : RetryRule::kNever;
    default:
      return made < max_attempts && !under_retry ? RetryRule::kBudgeted
                                                 : RetryRule::kNever;
  }
}

}  // namespace ibisvalve::dataplane
