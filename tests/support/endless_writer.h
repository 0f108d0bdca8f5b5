#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <string>
#include <utility>

#include "net/net.h"

namespace ibisvalve {

/// A peer that is still being read after this many bytes has no bound.
inline constexpr size_t kMaxAcceptedBytes = 16 << 20;
inline constexpr size_t kWriteBytes = 64 << 10;

/// Writes a pattern to a connection again and again, up to kMaxAcceptedBytes.
class EndlessWriter {
 public:
  EndlessWriter(net::EventLoop& loop, bufferevent* end, std::string pattern)
      : end_(end),
        pattern_(std::move(pattern)),
        timer_(loop, [this] { Write(); }) {
    timer_.StartPeriodic(std::chrono::milliseconds(1));
  }

  /// Returns the bytes that have left this process.
  size_t accepted() const {
    return written_ - evbuffer_get_length(bufferevent_get_output(end_));
  }
  /// Must be called before the connection is freed.
  void Stop() { timer_.Stop(); }

 private:
  void Write() {
    evbuffer* output = bufferevent_get_output(end_);
    while (evbuffer_get_length(output) < kWriteBytes &&
           written_ < kMaxAcceptedBytes) {
      bufferevent_write(end_, pattern_.data(), pattern_.size());
      written_ += pattern_.size();
    }
  }

  bufferevent* end_;
  std::string pattern_;
  size_t written_ = 0;
  net::Timer timer_;
};

/// Returns `text` repeated to a size that is written at once.
inline std::string Repeat(const std::string& text) {
  std::string pattern;
  while (pattern.size() < kWriteBytes) {
    pattern += text;
  }
  return pattern;
}

}  // namespace ibisvalve
