#include "policy/baseline_choosers.h"

namespace ibisvalve::policy {
namespace {

double HintedUtilization(const Candidate& candidate) {
  return static_cast<double>(candidate.hint_in_flight + candidate.hint_queued) /
         candidate.slots;
}

}  // namespace

size_t LeastLocalChooser::Choose(std::span<const Candidate> candidates,
                                 Time /*now*/,
                                 Random& random) {
  size_t best = 0;
  uint64_t ties = 1;
  for (size_t i = 1; i < candidates.size(); ++i) {
    const uint32_t load = candidates[i].local_in_flight;
    const uint32_t least = candidates[best].local_in_flight;
    if (load < least) {
      best = i;
      ties = 1;
    } else if (load == least && random() % ++ties == 0) {
      best = i;
    }
  }
  return best;
}

size_t TwoStaleChooser::Choose(std::span<const Candidate> candidates,
                               Time /*now*/,
                               Random& random) {
  const size_t first = random() % candidates.size();
  const size_t second = random() % candidates.size();
  return HintedUtilization(candidates[second]) <
                 HintedUtilization(candidates[first])
             ? second
             : first;
}

}  // namespace ibisvalve::policy
