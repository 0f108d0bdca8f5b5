#pragma once

#include <span>
#include <vector>

#include "policy/choice.h"

namespace ibisvalve::policy {

/// What a choice must know of the request that it is for.
struct RequestTerms {
  Duration objective_left{0};  // the answer should come within this time
  Duration deadline_left{0};   // nobody waits for it any longer
  Duration work{0};            // usual time at a target; 0: not known
  double kib = 0;              // carried between ingress and gate, both ways

  auto operator<=>(const RequestTerms&) const = default;
};

/// Settings of the choice by expected value.
struct ValueSettings {
  double late_value = 0.1;  // of an answer after the objective, in time 1
  double crossing_per_kib = 0.006;  // cost of carrying a KiB to another zone
  double close_enough = 0.005;      // differences below this do not count
  // A request that is worth less is not begun: it would only keep others from
  // their slots.
  double least_value = 0.04;
  Duration hint_half_life = std::chrono::milliseconds(800);

  auto operator<=>(const ValueSettings&) const = default;
};

/// Picks the target where a request is worth most: by the chance that its
/// answer comes within the objective, or at least in time, less what it costs
/// to carry it to another zone. Among targets that are about equal the one with
/// more free slots is likelier, so that many ingresses with the same hints do
/// not all pick the same.
class ExpectedValueChooser {
 public:
  explicit ExpectedValueChooser(const ValueSettings& settings = {});

  struct Choice {
    size_t index = 0;
    /// Whether another would do nearly as well, if this one turns out worse
    /// than its hint says.
    bool has_alternative = false;
    double value = 0;  // of the request there
  };

  /// Picks one of `candidates`, which are not empty.
  Choice Choose(std::span<const Candidate> candidates,
                const RequestTerms& terms,
                Time now,
                Random& random) const;
  /// Returns whether a request with such a choice should be begun at all.
  bool IsWorthTrying(const Choice& choice) const {
    return choice.value >= settings_.least_value;
  }
  /// Returns what the request is worth at `candidate`: 1 for an answer that
  /// is sure to come within the objective.
  double Value(const Candidate& candidate,
               const RequestTerms& terms,
               Time now) const;
  /// Returns when the answer may be expected at `candidate`, from now.
  Duration ExpectedEnd(const Candidate& candidate,
                       const RequestTerms& terms,
                       Time now) const;

 private:
  double Load(const Candidate& candidate, Time now) const;

  ValueSettings settings_;
};

}  // namespace ibisvalve::policy
