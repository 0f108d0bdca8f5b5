#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>

namespace ibisvalve {

/// Duration in microseconds, the time resolution of all decision logic.
using Duration = std::chrono::microseconds;

/// Monotonic clock type without a static now(): only the runtime provides the
/// time. Its epoch is not comparable between processes.
struct RuntimeClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<RuntimeClock, Duration>;
  static constexpr bool is_steady = true;  // NOLINT: name of the standard
};

/// Point in time on the runtime's clock. Decision logic takes it as an
/// argument.
using Time = RuntimeClock::time_point;

/// Type that provides the runtime's current time.
template <typename T>
concept Clock = requires(const T& clock) {
  { clock.Now() } -> std::same_as<Time>;
};

/// Monotonic clock of the operating system.
class SystemClock {
 public:
  /// Returns the current time.
  Time Now() const {
    return Time(std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
  }
};

/// Clock for tests that changes only when Advance() is called.
class ManualClock {
 public:
  Time Now() const { return now_; }
  /// Moves the clock forward by `step`, which must not be negative.
  void Advance(Duration step);

 private:
  Time now_{std::chrono::seconds(1)};
};

/// Returns `duration` in whole milliseconds; 0 if it is negative.
uint64_t ToMillis(Duration duration);

/// Returns the time since this host started in microseconds, which includes
/// time during which it was suspended. Not comparable between hosts.
uint64_t BootMicros();

/// Returns the wall-clock time in microseconds since the Unix epoch. For
/// display, retention and incarnations only; never used to order events.
uint64_t WallMicros();

}  // namespace ibisvalve
