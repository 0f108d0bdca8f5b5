#pragma once

#include <glog/logging.h>

#include <cstdint>
#include <utility>

namespace ibisvalve::dataplane {

/// Process-wide limit on the bytes of message bodies in memory.
class MemoryBudget {
 public:
  /// Creates an unused budget of `limit` bytes.
  explicit MemoryBudget(uint64_t limit) : limit_(limit) {}

  /// Reserves `bytes`. Returns false, and reserves nothing, if fewer are left.
  bool Reserve(uint64_t bytes) {
    if (bytes > limit_ - used_) {
      return false;
    }
    used_ += bytes;
    return true;
  }
  /// Releases `bytes` that were reserved.
  void Release(uint64_t bytes) {
    CHECK_LE(bytes, used_);
    used_ -= bytes;
  }
  uint64_t used() const { return used_; }
  uint64_t limit() const { return limit_; }

 private:
  uint64_t limit_;
  uint64_t used_ = 0;
};

/// Reservation of bytes in a MemoryBudget, released on destruction.
class MemoryReservation {
 public:
  MemoryReservation() = default;
  ~MemoryReservation() { Reset(); }
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;
  MemoryReservation(MemoryReservation&& other) noexcept
      : budget_(std::exchange(other.budget_, nullptr)),
        bytes_(std::exchange(other.bytes_, 0)) {}
  MemoryReservation& operator=(MemoryReservation&& other) noexcept {
    Reset();
    budget_ = std::exchange(other.budget_, nullptr);
    bytes_ = std::exchange(other.bytes_, 0);
    return *this;
  }

  /// Releases the current reservation and reserves `bytes` of `budget`. Returns
  /// false, and holds nothing, if fewer are left.
  bool Reserve(MemoryBudget& budget, uint64_t bytes) {
    Reset();
    if (!budget.Reserve(bytes)) {
      return false;
    }
    budget_ = &budget;
    bytes_ = bytes;
    return true;
  }
  /// Extends the reservation to `bytes` of `budget`; keeps a larger one.
  /// Returns false, and keeps the present one, if not enough are left.
  bool GrowTo(MemoryBudget& budget, uint64_t bytes) {
    if (bytes <= bytes_) {
      return true;
    }
    if (!budget.Reserve(bytes - bytes_)) {
      return false;
    }
    budget_ = &budget;
    bytes_ = bytes;
    return true;
  }
  /// Releases the reservation before destruction.
  void Reset() {
    if (budget_ != nullptr) {
      std::exchange(budget_, nullptr)->Release(std::exchange(bytes_, 0));
    }
  }

 private:
  MemoryBudget* budget_ = nullptr;
  uint64_t bytes_ = 0;
};

}  // namespace ibisvalve::dataplane
