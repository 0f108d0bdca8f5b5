#pragma once

#include <cstdint>
#include <string>

#include "base/time.h"

namespace ibisvalve {

/// Writes whole lines to a descriptor without ever waiting for its reader, and
/// no more than some in each second. What does not go out is counted.
class LineSink {
 public:
  /// Writes to `fd`, at most `lines_per_second` lines.
  LineSink(int fd, uint32_t lines_per_second)
      : fd_(fd), lines_per_second_(lines_per_second) {}

  /// Writes `line`, which ends with a line feed, or drops it. `urgent` lines
  /// may take twice the bound. Returns whether it was written.
  bool Write(const std::string& line, bool urgent, Time now);
  /// Returns how many lines were dropped since the last call.
  uint64_t TakeDropped();
  /// Returns how many lines were dropped since the start.
  uint64_t dropped() const { return dropped_; }

 private:
  bool HasRoom() const;

  int fd_;
  uint32_t lines_per_second_;
  Time second_{};  // start of the second that is counted
  uint32_t written_ = 0;
  uint64_t dropped_ = 0;
  uint64_t told_ = 0;  // of the dropped ones
};

}  // namespace ibisvalve
