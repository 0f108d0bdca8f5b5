#include "observe/burn_counts.h"

namespace ibisvalve::observe {
namespace {

constexpr uint16_t kMinServerErrorStatus = 500;

// Returns whether the request itself is at fault, so that its refusal does not
// count against the objective.
bool IsCallerError(world::Reason reason) {
  switch (reason) {
    case world::Reason::kBadRequest:
    case world::Reason::kTooLarge:
    case world::Reason::kKeyRequired:
    case world::Reason::kKeyMismatch:
    case world::Reason::kUnknownService:
      return true;
    default:
      return false;
  }
}

}  // namespace

Ending ClassifyRequest(const RequestSample& sample, Duration within) {
  if (sample.hung_up) {
    return Ending::kLost;
  }
  switch (sample.outcome) {
    case world::Outcome::kNotRun:
      return IsCallerError(sample.reason) ? Ending::kRejected
                                          : Ending::kRefused;
    case world::Outcome::kUnknown:
      return Ending::kUnknown;
    case world::Outcome::kAnswered:
      break;
  }
  if (sample.status >= kMinServerErrorStatus) {
    return Ending::kFailed;
  }
  return sample.took <= within ? Ending::kInTime : Ending::kLate;
}

uint64_t CoveredRequests(const BurnCounts<uint64_t>& counts) {
  return BadRequests(counts) + counts.of(Ending::kInTime);
}

uint64_t BadRequests(const BurnCounts<uint64_t>& counts) {
  return counts.of(Ending::kLate) + counts.of(Ending::kFailed) +
         counts.of(Ending::kRefused) + counts.of(Ending::kUnknown) +
         counts.of(Ending::kLost);
}

std::optional<double> BurnRate(const BurnCounts<uint64_t>& counts,
                               const world::Objective& objective) {
  const uint64_t covered = CoveredRequests(counts);
  const double allowed = 1.0 - objective.share;
  if (covered == 0 || allowed <= 0) {
    return std::nullopt;
  }
  const double bad =
      static_cast<double>(BadRequests(counts)) / static_cast<double>(covered);
  return bad / allowed;
}

}  // namespace ibisvalve::observe
