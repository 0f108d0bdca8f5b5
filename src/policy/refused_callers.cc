#include "policy/refused_callers.h"

#include <algorithm>

namespace ibisvalve::policy {
namespace {

// The deadlines of two attempts differ by the variation of the time that a
// request takes to the ingress.
constexpr Duration kDeadlineTolerance = std::chrono::milliseconds(100);

bool IsNear(Time a, Time b) {
  return std::max(a, b) - std::min(a, b) <= kDeadlineTolerance;
}

}  // namespace

void RefusedCallers::OnRefused(const Digest& fingerprint,
                               Time first_arrival,
                               Time deadline) {
  refusals_.emplace(fingerprint, Refusal{first_arrival, deadline});
  order_.emplace_back(fingerprint, deadline);
  if (order_.size() > max_entries_) {
    EvictOldest();
  }
}

std::optional<Time> RefusedCallers::OnArrival(const Digest& fingerprint,
                                              Time deadline) {
  const auto [begin, end] = refusals_.equal_range(fingerprint);
  const auto found = std::find_if(begin, end, [&](const auto& entry) {
    return IsNear(entry.second.deadline, deadline);
  });
  if (found == end) {
    return std::nullopt;
  }
  const Time first_arrival = found->second.first_arrival;
  refusals_.erase(found);
  return first_arrival;
}

void RefusedCallers::EvictOldest() {
  const std::pair<Digest, Time> oldest = order_.front();
  order_.pop_front();
  const auto [begin, end] = refusals_.equal_range(oldest.first);
  const auto found = std::find_if(begin, end, [&](const auto& entry) {
    return entry.second.deadline == oldest.second;
  });
  if (found != end) {  // else the caller has returned
    refusals_.erase(found);
  }
}

}  // namespace ibisvalve::policy
