#pragma once

#include <cstdint>
#include <string>

#include "base/time.h"

namespace ibisvalve {

/// Writes complete lines to a file descriptor without blocking, up to a limit
/// per second. Lines that cannot be written are dropped and counted.
class LineSink {
 public:
  /// Writes to `fd`, which must stay open, at most `lines_per_second` lines per
  /// second that are not urgent.
  LineSink(int fd, uint32_t lines_per_second)
      : fd_(fd), lines_per_second_(lines_per_second) {}

  /// Writes `line`, which must end with a line feed, or drops it. The limit for
  /// `urgent` lines is twice as high. Returns whether the line was written.
  bool Write(const std::string& line, bool urgent, Time now);
  /// Returns the number of lines dropped since the previous call.
  uint64_t TakeDropped();
  /// Returns the number of lines dropped since construction.
  uint64_t dropped() const { return dropped_; }

 private:
  bool IsWritable() const;

  int fd_;
  uint32_t lines_per_second_;
  Time window_start_{};   // start of the current one-second window
  uint32_t written_ = 0;  // lines in that window
  uint64_t dropped_ = 0;
  uint64_t reported_dropped_ = 0;  // already returned by TakeDropped()
};

}  // namespace ibisvalve
