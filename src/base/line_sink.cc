#include "base/line_sink.h"

#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <climits>

namespace ibisvalve {

bool LineSink::Write(const std::string& line, bool urgent, Time now) {
  if (now - second_ >= std::chrono::seconds(1)) {
    second_ = now;
    written_ = 0;
  }
  const uint32_t bound = urgent ? 2 * lines_per_second_ : lines_per_second_;
  // A pipe that polls as writable takes up to PIPE_BUF bytes in one atomic
  // write.
  const bool fits = line.size() <= PIPE_BUF;
  const bool gone =
      written_ < bound && fits && HasRoom() &&
      write(fd_, line.data(), line.size()) == static_cast<ssize_t>(line.size());
  if (gone) {
    ++written_;
  } else {
    ++dropped_;
  }
  return gone;
}

uint64_t LineSink::TakeDropped() {
  const uint64_t fresh = dropped_ - told_;
  told_ = dropped_;
  return fresh;
}

bool LineSink::HasRoom() const {
  pollfd state{fd_, POLLOUT, 0};
  return poll(&state, 1, 0) > 0 && (state.revents & POLLOUT) != 0;
}

}  // namespace ibisvalve
