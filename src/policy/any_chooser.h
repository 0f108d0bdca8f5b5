#pragma once

#include <span>
#include <variant>

#include "policy/baseline_choosers.h"
#include "policy/choice.h"
#include "policy/weighed_chooser.h"
#include "world/world.h"

namespace ibisvalve::policy {

/// Chooser of the configured kind, for one service.
class AnyChooser {
 public:
  AnyChooser(ChoiceKind kind, const world::Routing& routing);

  /// Returns the index of the chosen candidate; `candidates` must not be empty.
  size_t Choose(std::span<const Candidate> candidates,
                Time now,
                Random& random);

 private:
  std::variant<WeighedChooser,
               RandomChooser,
               RoundRobinChooser,
               LeastLocalChooser,
               TwoStaleChooser>
      chooser_;
};

}  // namespace ibisvalve::policy
