#include "policy/any_chooser.h"

#include <glog/logging.h>

namespace ibisvalve::policy {

static_assert(Chooser<WeighedChooser>);
static_assert(Chooser<RandomChooser>);
static_assert(Chooser<RoundRobinChooser>);
static_assert(Chooser<LeastLocalChooser>);
static_assert(Chooser<TwoStaleChooser>);
static_assert(Chooser<AnyChooser>);

AnyChooser::AnyChooser(ChoiceKind kind, const world::Routing& routing)
    : chooser_(WeighedChooser(WeighedChooserSettingsFor(routing))) {
  switch (kind) {
    case ChoiceKind::kWeighed:
      return;
    case ChoiceKind::kRandom:
      chooser_ = RandomChooser();
      return;
    case ChoiceKind::kRoundRobin:
      chooser_ = RoundRobinChooser();
      return;
    case ChoiceKind::kLeastLocal:
      chooser_ = LeastLocalChooser();
      return;
    case ChoiceKind::kTwoStale:
      chooser_ = TwoStaleChooser();
      return;
    case ChoiceKind::kExpectedValue:
      return;  // the weighed chooser serves requests without RequestTerms
  }
}

size_t AnyChooser::Choose(std::span<const Candidate> candidates,
                          Time now,
                          Random& random) {
  CHECK(!candidates.empty());
  return std::visit(
      [&](auto& chooser) { return chooser.Choose(candidates, now, random); },
      chooser_);
}

}  // namespace ibisvalve::policy
