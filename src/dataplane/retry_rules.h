#pragma once

#include <cstdint>

#include "world/world.h"

namespace ibisvalve::dataplane {

/// What may follow an attempt that ended without an answer.
enum class RetryRule : uint8_t {
  kNever,     // the caller is told
  kSoon,      // ingress and gate are not of one mind yet; the same gate will do
  kFree,      // elsewhere, without budget: the refusal cost no target anything
  kBudgeted,  // elsewhere, if the retry budget allows
};

/// How often a request has been tried.
struct AttemptCount {
  uint32_t made = 0;     // attempts, those that gates refused included
  uint32_t offered = 0;  // attempts that a target may have been sent
  uint32_t max_offered = 1;

  auto operator<=>(const AttemptCount&) const = default;
};

/// Returns the rule for an attempt that ended with `outcome` and `reason`.
/// `repeatable` tells whether the request may run again, and `under_retry`
/// whether a caller further up is retrying, which must not multiply.
RetryRule RuleFor(world::Outcome outcome,
                  world::Reason reason,
                  bool repeatable,
                  bool under_retry,
                  const AttemptCount& count);

}  // namespace ibisvalve::dataplane
