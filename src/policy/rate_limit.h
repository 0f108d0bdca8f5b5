#pragma once

#include <optional>

#include "base/base.h"

namespace ibisvalve::policy {

/// Token bucket for the rate at which a target takes requests. The rate can
/// change at any time; without one, nothing is limited.
class RateLimit {
 public:
  /// Sets the rate in requests per second, at least 0; nullopt: no limit.
  void Set(std::optional<double> per_second, Time now);
  /// Returns the rate; nullopt: no limit.
  const std::optional<double>& per_second() const { return per_second_; }
  /// Takes one request; it must be available.
  void Take(Time now);
  /// Returns whether a request may start at `now`.
  bool IsAvailable(Time now) const { return WaitFor(0, now) == Duration(0); }
  /// Returns the time from `now` until a request may start that has `ahead`
  /// others before it; at most one hour.
  Duration WaitFor(size_t ahead, Time now) const;

 private:
  double TokensAt(Time now) const;

  std::optional<double> per_second_;
  double tokens_ = 0;  // at updated_at_
  Time updated_at_{};
};

}  // namespace ibisvalve::policy
