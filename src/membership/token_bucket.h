#pragma once

#include <algorithm>
#include <cstdint>

#include "base/base.h"

namespace ibisvalve::membership {

/// Bounds an average rate of bytes, with bursts of up to the capacity.
class TokenBucket {
 public:
  /// Starts full. `bytes_per_second` and `capacity` are positive.
  TokenBucket(uint32_t bytes_per_second, uint32_t capacity)
      : bytes_per_second_(bytes_per_second),
        capacity_(capacity),
        balance_(capacity) {}

  /// Adds what has come in since the last call.
  void Refill(Time now) {
    if (now > refilled_) {
      const double seconds =
          std::chrono::duration<double>(now - refilled_).count();
      balance_ =
          refilled_ == Time()
              ? balance_
              : std::min(capacity_, balance_ + seconds * bytes_per_second_);
      refilled_ = now;
    }
  }
  /// Takes `bytes`; the balance may become negative.
  void Take(size_t bytes) { balance_ -= static_cast<double>(bytes); }
  /// Returns how many bytes may be sent now.
  size_t available() const {
    return balance_ > 0 ? static_cast<size_t>(balance_) : 0;
  }

 private:
  double bytes_per_second_;
  double capacity_;
  double balance_;
  Time refilled_;
};

}  // namespace ibisvalve::membership
