#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

#include "base/base.h"

namespace ibisvalve::policy {

/// Recognizes the requests of callers that were refused and return. All
/// attempts of one caller end at the same time, so a request belongs to an
/// earlier one if it has the same fingerprint and deadline. The latency
/// objective of such a request counts from the caller's first attempt.
class RefusedCallers {
 public:
  /// Remembers at most `max_entries` refused requests, the newest ones.
  explicit RefusedCallers(size_t max_entries) : max_entries_(max_entries) {}

  /// Records that a request was refused. `first_arrival` is the arrival of its
  /// caller's first attempt, and `deadline` is when the caller gives up.
  void OnRefused(const Digest& fingerprint, Time first_arrival, Time deadline);
  /// Returns the arrival of the first attempt of the caller whose request with
  /// `fingerprint` and `deadline` arrives now, and forgets the refusal. Returns
  /// std::nullopt if this is the first attempt.
  std::optional<Time> OnArrival(const Digest& fingerprint, Time deadline);

  size_t size() const { return refusals_.size(); }

 private:
  struct Refusal {
    Time first_arrival;
    Time deadline;
  };
  void EvictOldest();

  size_t max_entries_;
  std::multimap<Digest, Refusal> refusals_;
  std::deque<std::pair<Digest, Time>> order_;  // fingerprint, deadline
};

}  // namespace ibisvalve::policy
