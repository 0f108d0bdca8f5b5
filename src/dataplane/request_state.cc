#include "dataplane/request_state.h"

namespace ibisvalve::dataplane {
namespace {

// While the caller has not read what was sent to it.
constexpr Duration kCallerStallTimeout = std::chrono::seconds(10);

}  // namespace

bool RequestState::HasStalled(Time now) {
  uint64_t bytes = 0;
  bool waits_for_caller = false;
  for (const auto& attempt : attempts) {
    bytes += attempt->relay->received_bytes();
    waits_for_caller |= attempt->relay->waits_for_caller();
  }
  if (progress_bytes != bytes) {
    progress_bytes = bytes;
    progress_at = now;
  }
  return now - progress_at >=
         (waits_for_caller ? kCallerStallTimeout : kTargetStallTimeout);
}

}  // namespace ibisvalve::dataplane
