#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>

namespace ibisvalve {

/// Span of time in microseconds, the resolution of every decision.
using Duration = std::chrono::microseconds;

/// Monotonic time that only the runtime hands out. Its epoch has no meaning
/// between processes.
struct RuntimeClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<RuntimeClock, Duration>;
  static constexpr bool is_steady = true;  // NOLINT: name of the standard
};

/// A point of the runtime's time. Decision logic gets it as an argument.
using Time = RuntimeClock::time_point;

/// Something that tells the runtime's time.
template <typename T>
concept Clock = requires(const T& clock) {
  { clock.Now() } -> std::same_as<Time>;
};

/// Clock of the operating system, monotonic.
class SystemClock {
 public:
  /// Returns the present time.
  Time Now() const {
    return Time(std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
  }
};

/// Clock that stands still until a test advances it.
class ManualClock {
 public:
  /// Returns the time set last.
  Time Now() const { return now_; }
  /// Moves the time forward by `step`, which may not be negative.
  void Advance(Duration step);

 private:
  Time now_{std::chrono::seconds(1)};
};

/// Returns the wall clock in microseconds since 1970. For display, retention
/// and incarnations only; no decision about order rests on it.
uint64_t WallMicros();

}  // namespace ibisvalve
