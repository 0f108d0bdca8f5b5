#pragma once

#include <glog/logging.h>

#include <cstdint>
#include <utility>

namespace ibisvalve::dataplane {

/// Process-wide bound on the bytes of bodies that are held at any time.
class MemoryBudget {
 public:
  /// Allows `limit` bytes.
  explicit MemoryBudget(uint64_t limit) : limit_(limit) {}

  /// Takes `bytes`; returns false, and takes nothing, when fewer are left.
  bool Reserve(uint64_t bytes) {
    if (bytes > limit_ - used_) {
      return false;
    }
    used_ += bytes;
    return true;
  }
  /// Gives back what Reserve took.
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

/// Some bytes taken from a budget, given back when this object goes.
class MemoryShare {
 public:
  MemoryShare() = default;
  ~MemoryShare() { Reset(); }
  MemoryShare(const MemoryShare&) = delete;
  MemoryShare& operator=(const MemoryShare&) = delete;

  /// Takes `bytes` of `budget` in place of what was held; returns whether they
  /// could be had.
  bool Take(MemoryBudget& budget, uint64_t bytes) {
    Reset();
    if (!budget.Reserve(bytes)) {
      return false;
    }
    budget_ = &budget;
    bytes_ = bytes;
    return true;
  }
  /// Gives the bytes back early.
  void Reset() {
    if (budget_ != nullptr) {
      std::exchange(budget_, nullptr)->Release(bytes_);
    }
  }

 private:
  MemoryBudget* budget_ = nullptr;
  uint64_t bytes_ = 0;
};

}  // namespace ibisvalve::dataplane
