#include "policy/service_times.h"

#include <algorithm>

namespace ibisvalve::policy {
namespace {

constexpr size_t kMaxSamples = 64;
constexpr size_t kMinSamples = 16;  // required for refusals based on them
constexpr int kMaxMedianMultiple = 8;
constexpr size_t kTenthPercentileDivisor = 10;  // of the number of samples
constexpr Duration kMaxSampleAge = std::chrono::seconds(1);

}  // namespace

void ServiceTimes::Add(Duration service_time, Time now) {
  last_ = now;
  if (samples_.size() < kMaxSamples) {
    samples_.push_back(service_time);
  } else {
    samples_[next_] = service_time;
    next_ = (next_ + 1) % kMaxSamples;
  }
  std::vector<Duration> sorted = samples_;
  std::sort(sorted.begin(), sorted.end());
  median_ = sorted[sorted.size() / 2];
  tenth_percentile_ = sorted[sorted.size() / kTenthPercentileDivisor];
  const Duration bound = median_ * kMaxMedianMultiple;
  Duration sum{0};
  for (const Duration sample : sorted) {
    sum += std::min(sample, bound);
  }
  mean_ = sum / static_cast<int64_t>(sorted.size());
}

Duration ServiceTimes::TenthPercentile(Time now) const {
  return HasRecentSamples(now) ? tenth_percentile_ : Duration(0);
}

Duration ServiceTimes::Median(Time now) const {
  return HasRecentSamples(now) ? median_ : Duration(0);
}

bool ServiceTimes::HasRecentSamples(Time now) const {
  return samples_.size() >= kMinSamples && now - last_ <= kMaxSampleAge;
}

}  // namespace ibisvalve::policy
