#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/base.h"

namespace ibisvalve::observe {

/// Ring buffer of values of type T, one per span of wall-clock time. A new span
/// overwrites the oldest one. T must have a member function Clear().
template <typename T>
class SlotRing {
 private:
  struct Slot {
    uint64_t number;  // of its span; 0 if the slot was never used
    T value;
  };

 public:
  /// Size of one slot in bytes, without memory that T allocates.
  static constexpr size_t kSlotBytes = sizeof(Slot);

  /// Allocates slots for `count` spans of length `span`, each initialised to
  /// `empty`.
  SlotRing(Duration span, size_t count, const T& empty)
      : span_us_(static_cast<uint64_t>(span.count())),
        slots_(count, Slot{0, empty}) {}

  /// Returns the value of the span that contains `wall_us`, or of the latest
  /// span if the clock was set back. Clears the value when the span begins.
  T& At(uint64_t wall_us) {
    newest_ = std::max(newest_, SpanNumberOf(wall_us));
    Slot& slot = slots_[newest_ % slots_.size()];
    if (slot.number != newest_) {
      slot.number = newest_;
      slot.value.Clear();
    }
    return slot.value;
  }
  /// Calls `visit` for the value of each span that overlaps the time from
  /// `wall_us - window` to `wall_us`.
  template <typename Visit>
  void VisitWindow(uint64_t wall_us,
                   Duration window,
                   const Visit& visit) const {
    const uint64_t last = std::max(newest_, SpanNumberOf(wall_us));
    const uint64_t spans = static_cast<uint64_t>(window.count()) / span_us_;
    const uint64_t first = last > spans ? last - spans : 1;
    for (const Slot& slot : slots_) {
      if (slot.number >= first && slot.number <= last) {
        visit(slot.value);
      }
    }
  }

 private:
  uint64_t SpanNumberOf(uint64_t wall_us) const {
    return wall_us / span_us_ + 1;
  }

  uint64_t span_us_;
  uint64_t newest_ = 0;
  std::vector<Slot> slots_;
};

}  // namespace ibisvalve::observe
