#include "dataplane/uplink_schedule.h"

#include <algorithm>

namespace ibisvalve::dataplane {
namespace {

// Time that what was handed to the link takes, up to which a further slice is
// handed to it. A small response waits behind that much at most.
constexpr Duration kMaxBacklog = std::chrono::milliseconds(10);
constexpr double kBytesPerMbitUs = 1.0 / 8;  // of a link of 1 Mbit/s

}  // namespace

UplinkSchedule::UplinkSchedule(double link_mbps)
    : bytes_per_us_(link_mbps * kBytesPerMbitUs) {}

void UplinkSchedule::OnSent(uint64_t bytes, Time now) {
  if (enabled()) {
    busy_until_ = std::max(busy_until_, now) +
                  Duration(static_cast<Duration::rep>(
                      static_cast<double>(bytes) / bytes_per_us_));
  }
}

void UplinkSchedule::Add(const AttemptId& id, uint64_t left) {
  waiting_[id] = left;
}

std::optional<AttemptId> UplinkSchedule::TakeNext(Time now) {
  if (waiting_.empty() || busy_until_ - now > kMaxBacklog) {
    return std::nullopt;
  }
  const auto next = std::min_element(
      waiting_.begin(), waiting_.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  const AttemptId id = next->first;
  waiting_.erase(next);
  return id;
}

std::optional<Duration> UplinkSchedule::NextIn(Time now) const {
  if (waiting_.empty()) {
    return std::nullopt;
  }
  return std::max(busy_until_ - now - kMaxBacklog, Duration(0));
}

}  // namespace ibisvalve::dataplane
