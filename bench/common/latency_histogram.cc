#include "bench/common/latency_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace ibisvalve::bench {
namespace {

// Each value below 2^kLinearBits has its own bucket. Above, each power of two
// is divided into 2^(kLinearBits - 1) buckets.
constexpr int kLinearBits = 8;
constexpr uint64_t kHalf = uint64_t{1} << (kLinearBits - 1);
constexpr uint64_t kMaxMicros = 64'000'000;

size_t BucketOf(uint64_t micros) {
  const int shift =
      std::max(0, static_cast<int>(std::bit_width(micros)) - kLinearBits);
  return static_cast<size_t>(shift) * kHalf + (micros >> shift);
}

uint64_t BucketUpperBound(size_t bucket) {
  if (bucket < 2 * kHalf) {
    return bucket;
  }
  const size_t shift = bucket / kHalf - 1;
  const uint64_t mantissa = bucket - shift * kHalf;
  return ((mantissa + 1) << shift) - 1;
}

}  // namespace

LatencyHistogram::LatencyHistogram() : buckets_(BucketOf(kMaxMicros) + 1) {}

void LatencyHistogram::Record(Duration latency) {
  const auto micros =
      static_cast<uint64_t>(std::max<int64_t>(0, latency.count()));
  ++buckets_[BucketOf(std::min(micros, kMaxMicros))];
  ++count_;
  max_ = std::max(max_, latency);
  sum_ += latency;
}

void LatencyHistogram::Merge(const LatencyHistogram& other) {
  for (size_t i = 0; i < buckets_.size(); ++i) {
    buckets_[i] += other.buckets_[i];
  }
  count_ += other.count_;
  max_ = std::max(max_, other.max_);
  sum_ += other.sum_;
}

Duration LatencyHistogram::ValueAtQuantile(double quantile) const {
  const auto rank = std::max<uint64_t>(
      1,
      static_cast<uint64_t>(std::ceil(quantile * static_cast<double>(count_))));
  uint64_t cumulative = 0;
  for (size_t i = 0; i < buckets_.size(); ++i) {
    cumulative += buckets_[i];
    if (cumulative >= rank) {
      return std::min(max_,
                      Duration(static_cast<int64_t>(BucketUpperBound(i))));
    }
  }
  return Duration(0);
}

Duration LatencyHistogram::mean() const {
  return count_ == 0 ? Duration(0) : sum_ / static_cast<int64_t>(count_);
}

}  // namespace ibisvalve::bench
