#include "base/time.h"

#include <glog/logging.h>

namespace ibisvalve {

void ManualClock::Advance(Duration step) {
  CHECK_GE(step.count(), 0) << "ManualClock cannot be moved backwards";
  now_ += step;
}

uint64_t WallMicros() {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<Duration>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace ibisvalve
