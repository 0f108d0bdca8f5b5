#include "policy/unanswered_runs.h"

namespace ibisvalve::policy {
namespace {

constexpr size_t kMaxRuns = 64;
// Longer than it takes until the end of a target is noticed: some seconds for
// one that announces itself again after its restart.
constexpr Duration kMaxAge = std::chrono::seconds(30);

}  // namespace

void UnansweredRuns::Add(const world::RequestIdentity& request,
                         Time dispatched,
                         Time now) {
  if (runs_.size() == kMaxRuns) {
    runs_.pop_front();
  }
  runs_.push_back({request, dispatched, now});
}

void UnansweredRuns::OnResponse(Time dispatched) {
  std::erase_if(runs_,
                [&](const Run& run) { return run.dispatched < dispatched; });
}

std::vector<world::RequestIdentity> UnansweredRuns::Take(Time now) {
  std::vector<world::RequestIdentity> requests;
  for (const Run& run : runs_) {
    if (now - run.given_up < kMaxAge) {
      requests.push_back(run.request);
    }
  }
  runs_.clear();
  return requests;
}

}  // namespace ibisvalve::policy
