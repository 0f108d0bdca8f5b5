#include "policy/service_times.h"

#include <algorithm>

namespace ibisvalve::policy {
namespace {

constexpr size_t kMaxSamples = 64;
constexpr size_t kMinSamples = 16;  // required for refusals based on them
constexpr int kMaxOverMedian = 8;
constexpr size_t kQuickestDivisor = 10;  // 10th percentile
constexpr Duration kMaxAge = std::chrono::seconds(1);

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
  quickest_ = sorted[sorted.size() / kQuickestDivisor];
  const Duration bound = median_ * kMaxOverMedian;
  Duration sum{0};
  for (const Duration sample : sorted) {
    sum += std::min(sample, bound);
  }
  mean_ = sum / static_cast<int64_t>(sorted.size());
}

Duration ServiceTimes::Quickest(Time now) const {
  return Judges(now) ? quickest_ : Duration(0);
}

Duration ServiceTimes::Typical(Time now) const {
  return Judges(now) ? median_ : Duration(0);
}

bool ServiceTimes::Judges(Time now) const {
  return samples_.size() >= kMinSamples && now - last_ <= kMaxAge;
}

}  // namespace ibisvalve::policy
