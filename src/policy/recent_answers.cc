#include "policy/recent_answers.h"

#include <utility>

namespace ibisvalve::policy {
namespace {

// About 64 bytes each.
constexpr size_t kMaxRequests = 2048;

}  // namespace

void RecentAnswers::Add(Digest request, Time now) {
  if (now - rotated_ >= kPeriod) {
    previous_ = std::exchange(current_, {});
    rotated_ = now;
  }
  if (current_.size() < kMaxRequests || current_.contains(request)) {
    current_[request] = now;
  }
}

bool RecentAnswers::Contains(Digest request, Time now) const {
  for (const Answers* answers : {&current_, &previous_}) {
    const auto found = answers->find(request);
    if (found != answers->end() && now - found->second < kPeriod) {
      return true;
    }
  }
  return false;
}

}  // namespace ibisvalve::policy
