#pragma once

#include <cstdint>

#include "world/world.h"

namespace ibisvalve::dataplane {

/// Whether and how a request may be retried after an attempt without a
/// response.
enum class RetryRule : uint8_t {
  /// Not at all; the outcome is reported to the caller.
  kNever,
  /// At any gate, the same one included, after a delay in which revisions and
  /// incarnations converge.
  kAfterDelay,
  /// At another target, without using the retry budget, because the refusal
  /// caused no load on a target.
  kUnbudgeted,
  /// At another target, if the retry budget allows it.
  kBudgeted,
};

/// Number of attempts of a request.
struct AttemptCount {
  uint32_t made = 0;     // all attempts, including those refused by gates
  uint32_t offered = 0;  // attempts that may have reached a target
  uint32_t max_offered = 1;

  auto operator<=>(const AttemptCount&) const = default;
};

/// Returns the rule for an attempt that ended with `outcome` and `reason`.
/// `repeatable` is set if the request may run more than once. `under_retry` is
/// set if a caller further up the chain is retrying; retries at several levels
/// would multiply, so such a request is not retried once it may have reached a
/// target.
RetryRule RetryRuleFor(world::Outcome outcome,
                       world::Reason reason,
                       bool repeatable,
                       bool under_retry,
                       const AttemptCount& count);

}  // namespace ibisvalve::dataplane
