#include "policy/rate_limit.h"

#include <glog/logging.h>

#include <algorithm>

namespace ibisvalve::policy {
namespace {

constexpr double kMicrosPerSecond = 1e6;
// Requests that may start at once, as a share of a second's. A target in need
// is not to be hit by a burst of all that it takes in a second.
constexpr double kBurstSeconds = 0.5;
constexpr Duration kMaxWait = std::chrono::hours(1);

double Capacity(double per_second) {
  return std::max(1.0, per_second * kBurstSeconds);
}

}  // namespace

void RateLimit::Set(std::optional<double> per_second, Time now) {
  if (per_second == per_second_) {
    return;
  }
  tokens_ = per_second_ && per_second
                ? std::min(TokensAt(now), Capacity(*per_second))
                : 0;
  per_second_ = per_second;
  updated_at_ = now;
}

void RateLimit::Take(Time now) {
  if (!per_second_) {
    return;
  }
  CHECK(IsAvailable(now));
  tokens_ = TokensAt(now) - 1;
  updated_at_ = now;
}

Duration RateLimit::WaitFor(size_t ahead, Time now) const {
  if (!per_second_) {
    return Duration(0);
  }
  // Time has a resolution of a microsecond, so a token counts as there if it is
  // due within one.
  const double missing = static_cast<double>(ahead + 1) - TokensAt(now) -
                         *per_second_ / kMicrosPerSecond;
  if (missing <= 0) {
    return Duration(0);
  }
  const double wait_us = missing / *per_second_ * kMicrosPerSecond;
  return wait_us < static_cast<double>(kMaxWait.count())
             ? std::max(Duration(static_cast<Duration::rep>(wait_us)),
                        Duration(1))
             : kMaxWait;
}

double RateLimit::TokensAt(Time now) const {
  const double seconds =
      static_cast<double>((now - updated_at_).count()) / kMicrosPerSecond;
  return std::min(tokens_ + *per_second_ * std::max(seconds, 0.0),
                  Capacity(*per_second_));
}

}  // namespace ibisvalve::policy
