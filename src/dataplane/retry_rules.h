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

/// Returns the rule for an attempt that ended with `outcome` and `reason`.
/// `repeatable` tells whether the request may run again, `made` how many
/// attempts there were, and `under_retry` whether a caller further up is
/// retrying, which must not multiply.
RetryRule RuleFor(world::Outcome outcome,
                  world::Reason reason,
                  bool repeatable,
                  bool under_retry,
                  uint32_t made,
                  uint32_t max_attempts);

}  // namespace ibisvalve::dataplane
