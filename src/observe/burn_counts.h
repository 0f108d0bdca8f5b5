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

/// How a request ended, as its caller sees it.
enum class Ending : uint8_t {
  kInTime,    // a whole answer within the objective
  kLate,      // a whole answer, later
  kFailed,    // a whole answer that is a server error (5xx)
  kRefused,   // not run
  kUnknown,   // a target may have run it
  kLost,      // the caller hung up first
  kRejected,  // the caller's own fault; not held against the objective
};
inline constexpr size_t kEndings = 7;
inline constexpr size_t kReasons =
    static_cast<size_t>(world::Reason::kBadRequest) + 1;

/// Returns how `sample` ended, where an answer after `within` is late.
Ending EndingOf(const RequestSample& sample, Duration within);

/// Counts of requests by their ending and reason, and their latencies.
template <std::unsigned_integral Count>
struct BurnCounts {
  std::array<Count, kEndings> endings{};
  std::array<Count, kReasons> reasons{};  // of refused and unknown ones
  LatencyHistogram<Count> latencies;      // of whole answers

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

/// Returns how many requests the objective covers.
uint64_t CoveredRequests(const BurnCounts<uint64_t>& counts);

/// Returns how many of those were not answered in time; a late answer counts
/// like a lost one.
uint64_t BadRequests(const BurnCounts<uint64_t>& counts);

/// Returns how fast the error budget is used up: 1 uses exactly the share that
/// the objective allows, 2 twice as much. Nothing without requests.
std::optional<double> BurnRate(const BurnCounts<uint64_t>& counts,
                               const world::Objective& objective);

}  // namespace ibisvalve::observe
