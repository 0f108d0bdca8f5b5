#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/base.h"

namespace ibisvalve::policy {

/// Quantiles of recent latencies, in bounded memory: buckets that grow by a
/// constant factor, over the last one to two periods.
class LatencyQuantile {
 public:
  /// `period` is how long a latency counts at least.
  explicit LatencyQuantile(Duration period = std::chrono::seconds(5));

  /// Takes in one latency.
  void Add(Duration latency, Time now);
  /// Returns the `quantile` (0 to 1) of the recent latencies, at most 10
  /// percent too high; nothing while fewer than `min_samples` are known.
  std::optional<Duration> At(double quantile,
                             uint64_t min_samples,
                             Time now) const;

 private:
  static constexpr size_t kBuckets = 200;  // 1 us to over 100 s
  using Counts = std::array<uint32_t, kBuckets>;

  void Rotate(Time now);

  Duration period_;
  Time period_start_{};
  Counts current_{};
  Counts previous_{};
};

}  // namespace ibisvalve::policy
