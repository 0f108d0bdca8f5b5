#include "base/time.h"

#include <glog/logging.h>
#include <time.h>

#include <algorithm>

namespace ibisvalve {

void ManualClock::Advance(Duration step) {
  CHECK_GE(step.count(), 0) << "ManualClock cannot be moved backwards";
  now_ += step;
}

uint64_t ToMillis(Duration duration) {
  using std::chrono::milliseconds;
  return static_cast<uint64_t>(
      std::max(std::chrono::duration_cast<milliseconds>(duration).count(),
               milliseconds::rep{0}));
}

uint64_t BootMicros() {
  timespec time{};
  PCHECK(clock_gettime(CLOCK_BOOTTIME, &time) == 0);
  return static_cast<uint64_t>(std::chrono::duration_cast<Duration>(
                                   std::chrono::seconds(time.tv_sec) +
                                   std::chrono::nanoseconds(time.tv_nsec))
                                   .count());
}

uint64_t WallMicros() {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<Duration>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace ibisvalve
