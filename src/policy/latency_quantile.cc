#include "policy/latency_quantile.h"

#include <glog/logging.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ibisvalve::policy {
namespace {

constexpr double kBucketGrowth = 1.1;  // ratio of successive bucket bounds

}  // namespace

LatencyQuantile::LatencyQuantile(Duration period) : period_(period) {
  CHECK_GT(period.count(), 0);
}

void LatencyQuantile::Add(Duration latency, Time now) {
  Rotate(now);
  const double micros = std::max(1.0, static_cast<double>(latency.count()));
  const auto bucket = static_cast<size_t>(
      std::ceil(std::log(micros) / std::log(kBucketGrowth)));
  ++current_[std::min(bucket, kBuckets - 1)];
}

std::optional<Duration> LatencyQuantile::At(double quantile,
                                            uint64_t min_samples,
                                            Time now) const {
  LatencyQuantile rotated = *this;
  rotated.Rotate(now);
  const auto sum = [](const Counts& counts) {
    return std::accumulate(counts.begin(), counts.end(), uint64_t{0});
  };
  const uint64_t total = sum(rotated.current_) + sum(rotated.previous_);
  if (total == 0 || total < min_samples) {
    return std::nullopt;
  }
  const auto rank =
      static_cast<uint64_t>(std::ceil(quantile * static_cast<double>(total)));
  uint64_t seen = 0;
  for (size_t i = 0; i < kBuckets; ++i) {
    seen += rotated.current_[i] + rotated.previous_[i];
    if (seen >= std::max<uint64_t>(rank, 1)) {
      return Duration(static_cast<int64_t>(
          std::ceil(std::pow(kBucketGrowth, static_cast<double>(i)))));
    }
  }
  return std::nullopt;
}

void LatencyQuantile::Rotate(Time now) {
  const Duration since = now - period_start_;
  if (since < period_) {
    return;
  }
  if (since < 2 * period_) {
    previous_ = current_;
    period_start_ += period_;
  } else {
    previous_.fill(0);
    period_start_ = now;
  }
  current_.fill(0);
}

}  // namespace ibisvalve::policy
