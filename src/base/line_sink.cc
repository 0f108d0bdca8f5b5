#include "base/line_sink.h"

#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <climits>

namespace ibisvalve {

bool LineSink::Write(const std::string& line, bool urgent, Time now) {
  if (now - window_start_ >= std::chrono::seconds(1)) {
    window_start_ = now;
    written_ = 0;
  }
  const uint32_t max_lines = urgent ? 2 * lines_per_second_ : lines_per_second_;
  // A pipe that polls as writable takes up to PIPE_BUF bytes in one atomic
  // write.
  const bool fits = line.size() <= PIPE_BUF;
  const bool written =
      written_ < max_lines && fits && IsWritable() &&
      write(fd_, line.data(), line.size()) == static_cast<ssize_t>(line.size());
  if (written) {
    ++written_;
  } else {
    ++dropped_;
  }
  return written;
}

uint64_t LineSink::TakeDropped() {
  const uint64_t newly_dropped = dropped_ - reported_dropped_;
  reported_dropped_ = dropped_;
  return newly_dropped;
}

bool LineSink::IsWritable() const {
  pollfd state{fd_, POLLOUT, 0};
  return poll(&state, 1, 0) > 0 && (state.revents & POLLOUT) != 0;
}

}  // namespace ibisvalve
