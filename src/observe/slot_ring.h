#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/base.h"

namespace ibisvalve::observe {

/// A bounded history of values of type T, one for each span of wall-clock
/// time; the oldest makes room for the newest. T has Clear().
template <typename T>
class SlotRing {
 private:
  struct Slot {
    uint64_t number;  // of its span; 0: never used
    T value;
  };

 public:
  /// Bytes of one span, without what T allocates.
  static constexpr size_t kSlotBytes = sizeof(Slot);

  /// Keeps `count` spans of length `span`, each starting as `empty`.
  SlotRing(Duration span, size_t count, const T& empty)
      : span_us_(static_cast<uint64_t>(span.count())),
        slots_(count, Slot{0, empty}) {}

  /// Returns the value of the span that holds `wall_us`, or of the latest span
  /// when the clock was set back.
  T& At(uint64_t wall_us) {
    newest_ = std::max(newest_, NumberOf(wall_us));
    Slot& slot = slots_[newest_ % slots_.size()];
    if (slot.number != newest_) {
      slot.number = newest_;
      slot.value.Clear();
    }
    return slot.value;
  }
  /// Calls `visit` with each value of the spans that overlap the time from
  /// `wall_us - window` to `wall_us`.
  template <typename Visit>
  void ForWindow(uint64_t wall_us, Duration window, const Visit& visit) const {
    const uint64_t last = std::max(newest_, NumberOf(wall_us));
    const uint64_t spans = static_cast<uint64_t>(window.count()) / span_us_;
    const uint64_t first = last > spans ? last - spans : 1;
    for (const Slot& slot : slots_) {
      if (slot.number >= first && slot.number <= last) {
        visit(slot.value);
      }
    }
  }

 private:
  uint64_t NumberOf(uint64_t wall_us) const { return wall_us / span_us_ + 1; }

  uint64_t span_us_;
  uint64_t newest_ = 0;
  std::vector<Slot> slots_;
};

}  // namespace ibisvalve::observe
