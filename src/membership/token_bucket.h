#pragma once

#include <algorithm>
#include <cstdint>

#include "base/base.h"

namespace ibisvalve::membership {

/// Token bucket that limits the average rate of bytes and allows bursts of up
/// to its capacity.
class TokenBucket {
 public:
  /// Starts full. `bytes_per_second` and `capacity` (in bytes) must be
  /// positive.
  TokenBucket(uint32_t bytes_per_second, uint32_t capacity)
      : bytes_per_second_(bytes_per_second),
        capacity_(capacity),
        balance_(capacity) {}

  /// Adds the bytes accrued since the last call, up to the capacity.
  void Refill(Time now) {
    if (now > last_refill_) {
      const double seconds =
          std::chrono::duration<double>(now - last_refill_).count();
      balance_ =
          last_refill_ == Time()
              ? balance_
              : std::min(capacity_, balance_ + seconds * bytes_per_second_);
      last_refill_ = now;
    }
  }
  /// Subtracts `bytes`; the balance may become negative.
  void Take(size_t bytes) { balance_ -= static_cast<double>(bytes); }
  /// Returns the number of bytes that may be sent now, or 0 if the balance is
  /// negative.
  size_t available() const {
    return balance_ > 0 ? static_cast<size_t>(balance_) : 0;
  }

 private:
  double bytes_per_second_;
  double capacity_;
  double balance_;
  Time last_refill_;
};

}  // namespace ibisvalve::membership
