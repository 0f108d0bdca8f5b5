#pragma once

#include <algorithm>
#include <array>
#include <bit>
#include <concepts>
#include <cstddef>
#include <cstdint>

#include "base/base.h"

namespace ibisvalve::observe {

/// Bucket layout shared by all histograms: eight buckets of equal width per
/// power of two from 128 us to 134 s, one underflow and one overflow bucket.
/// Between 128 us and 134 s the width of a bucket is at most an eighth of its
/// lower bound.
struct LatencyBuckets {
  static constexpr int kMinLog2Micros = 7;   // 128 us
  static constexpr int kMaxLog2Micros = 27;  // 134 s
  static constexpr int kLog2Steps = 3;       // eight steps per power of two
  static constexpr size_t kStepsPerOctave = size_t{1} << kLog2Steps;
  static constexpr size_t kCount =
      (kMaxLog2Micros - kMinLog2Micros) * kStepsPerOctave + 2;

  /// Returns the index of the bucket that contains `latency`.
  static size_t IndexOf(Duration latency) {
    const auto micros =
        static_cast<uint64_t>(std::max<Duration::rep>(latency.count(), 0));
    if (micros < (uint64_t{1} << kMinLog2Micros)) {
      return 0;
    }
    if (micros >= (uint64_t{1} << kMaxLog2Micros)) {
      return kCount - 1;
    }
    const int bits = static_cast<int>(std::bit_width(micros)) - 1;
    const uint64_t step =
        (micros >> (bits - kLog2Steps)) & (kStepsPerOctave - 1);
    return 1 + static_cast<size_t>(bits - kMinLog2Micros) * kStepsPerOctave +
           step;
  }
  /// Returns the exclusive upper bound of bucket `index`. The overflow bucket
  /// has none; for it, returns its lower bound.
  static Duration UpperBound(size_t index) {
    if (index >= kCount - 1) {
      return Duration(Duration::rep{1} << kMaxLog2Micros);
    }
    // The upper bound of a bucket is the lower bound of the next one.
    const size_t bits = index / kStepsPerOctave + kMinLog2Micros;
    const size_t step = index % kStepsPerOctave;
    return Duration(static_cast<Duration::rep>(
        (kStepsPerOctave + step) << (bits - static_cast<size_t>(kLog2Steps))));
  }
};

/// Counts latencies by bucket. Merging is exact: merged histograms equal the
/// histogram of all their samples.
template <std::unsigned_integral Count>
class LatencyHistogram {
 public:
  /// Counts one latency.
  void Add(Duration latency) { ++counts_[LatencyBuckets::IndexOf(latency)]; }
  /// Adds `count` latencies to bucket `index`. Throws std::out_of_range if
  /// there is no such bucket.
  void AddBucket(size_t index, Count count) { counts_.at(index) += count; }
  /// Adds the counts of `other`.
  template <std::unsigned_integral Other>
  void Merge(const LatencyHistogram<Other>& other) {
    for (size_t i = 0; i < counts_.size(); ++i) {
      counts_[i] += other.counts()[i];
    }
  }
  /// Returns the number of counted latencies.
  uint64_t total() const {
    uint64_t sum = 0;
    for (const Count count : counts_) {
      sum += count;
    }
    return sum;
  }
  /// Returns the `quantile` (0 to 1) of the samples, rounded up to the upper
  /// bound of its bucket. Returns 0 if there are no samples.
  Duration Quantile(double quantile) const {
    const uint64_t all = total();
    const double rank = quantile * static_cast<double>(all);
    uint64_t seen = 0;
    for (size_t i = 0; i < counts_.size(); ++i) {
      seen += counts_[i];
      if (seen > 0 && static_cast<double>(seen) >= rank) {
        return LatencyBuckets::UpperBound(i);
      }
    }
    return Duration(0);
  }
  const std::array<Count, LatencyBuckets::kCount>& counts() const {
    return counts_;
  }

  auto operator<=>(const LatencyHistogram&) const = default;

 private:
  std::array<Count, LatencyBuckets::kCount> counts_{};
};

}  // namespace ibisvalve::observe
