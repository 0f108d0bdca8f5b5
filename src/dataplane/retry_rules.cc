#include "dataplane/retry_rules.h"

namespace ibisvalve::dataplane {
namespace {

using world::Outcome;
using world::Reason;

// Attempts allowed beyond the maximum for targets, for attempts that gates
// refused without causing load on a target.
constexpr uint32_t kExtraRefusedAttempts = 5;

// Returns whether a retry is pointless because every gate would refuse for this
// reason, or because the caller no longer waits.
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

RetryRule RetryRuleFor(Outcome outcome,
                       Reason reason,
                       bool repeatable,
                       bool under_retry,
                       const AttemptCount& count) {
  if (IsFinal(reason) || outcome == Outcome::kAnswered ||
      count.made >= count.max_offered + kExtraRefusedAttempts) {
    return RetryRule::kNever;
  }
  const bool may_offer = !under_retry && count.offered < count.max_offered;
  if (outcome == Outcome::kUnknown) {
    return repeatable && may_offer ? RetryRule::kBudgeted : RetryRule::kNever;
  }
  // The gate itself may be well.
  if (reason == Reason::kRevision || reason == Reason::kGateRestarted ||
      reason == Reason::kLinkLost) {
    return RetryRule::kAfterDelay;
  }
  // A request that has not reached any target yet may be retried freely.
  if (count.offered == 0) {
    return RetryRule::kUnbudgeted;
  }
  return may_offer ? RetryRule::kBudgeted : RetryRule::kNever;
}

}  // namespace ibisvalve::dataplane
