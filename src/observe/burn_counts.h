#pragma once

#include <array>
#include <compare>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "observe/latency_histogram.h"
#include "observe/request_sample.h"
#include "world/world.h"

namespace ibisvalve::observe {

/// Result of a request from the point of view of its caller.
enum class Ending : uint8_t {
  kInTime,    // complete answer within the time limit
  kLate,      // complete answer after the time limit
  kFailed,    // complete answer with a server error (5xx)
  kRefused,   // not run by any target
  kUnknown,   // a target may have run the request
  kLost,      // the caller disconnected before the answer
  kRejected,  // caused by the caller; not counted against the objective
};
inline constexpr size_t kEndings = 7;
inline constexpr size_t kReasons =
    static_cast<size_t>(world::Reason::kBadRequest) + 1;

/// Returns the ending of `sample`. `within` is the time limit for an answer.
Ending ClassifyRequest(const RequestSample& sample, Duration within);

/// Counts requests by ending and by reason, and holds their latencies.
template <std::unsigned_integral Count>
struct BurnCounts {
  std::array<Count, kEndings> endings{};
  std::array<Count, kReasons> reasons{};  // of requests without an answer
  LatencyHistogram<Count> latencies;      // of complete answers

  /// Counts one request.
  void Add(const RequestSample& sample, Ending ending) {
    ++endings[static_cast<size_t>(ending)];
    const auto reason = static_cast<size_t>(sample.reason);
    if (sample.outcome == world::Outcome::kAnswered) {
      latencies.Add(sample.took);
    } else if (reason < reasons.size()) {
      ++reasons[reason];
    }
  }
  /// Adds the counts of `other`.
  template <std::unsigned_integral Other>
  void Merge(const BurnCounts<Other>& other) {
    for (size_t i = 0; i < endings.size(); ++i) {
      endings[i] += other.endings[i];
    }
    for (size_t i = 0; i < reasons.size(); ++i) {
      reasons[i] += other.reasons[i];
    }
    latencies.Merge(other.latencies);
  }
  Count of(Ending ending) const { return endings[static_cast<size_t>(ending)]; }

  auto operator<=>(const BurnCounts&) const = default;
};

/// Returns the number of requests that count for the objective; rejected ones
/// do not.
uint64_t CoveredRequests(const BurnCounts<uint64_t>& counts);

/// Returns the number of covered requests that missed the objective. Late
/// answers count like lost ones.
uint64_t BadRequests(const BurnCounts<uint64_t>& counts);

/// Returns the rate at which the error budget is consumed: 1 consumes exactly
/// the share of bad requests that the objective allows, 2 twice that share.
/// Returns nullopt if no request counts or the objective allows no bad ones.
std::optional<double> BurnRate(const BurnCounts<uint64_t>& counts,
                               const world::Objective& objective);

}  // namespace ibisvalve::observe
