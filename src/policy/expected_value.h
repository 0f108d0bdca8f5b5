#pragma once

#include <span>
#include <vector>

#include "policy/choice.h"

namespace ibisvalve::policy {

/// Properties of a request that the choice of a target depends on.
struct RequestTerms {
  Duration objective_left{0};  // time left to the latency objective
  Duration deadline_left{0};   // time left until a response is discarded
  Duration service_time{0};    // at a target without slowdown; 0: unknown
  double transfer_kib = 0;     // transferred between ingress and gate, in total

  auto operator<=>(const RequestTerms&) const = default;
};

/// Settings of ExpectedValueChooser. A response within the objective has the
/// value 1.
struct ExpectedValueSettings {
  double late_value = 0.1;                 // of a response after the objective
  double cross_zone_cost_per_kib = 0.006;  // cost of a KiB to another zone
  double value_tolerance = 0.005;          // smaller differences are ignored
  // Requests whose response has a lower value, without any costs, are not sent,
  // as they would only occupy slots that other requests need. Costs decide
  // between targets but never that a caller is not served.
  double min_answer_value = 0.04;
  Duration hint_half_life = std::chrono::milliseconds(800);
  // Of the transfer time: a full link stays full for seconds.
  Duration transfer_half_life = std::chrono::milliseconds(2500);

  auto operator<=>(const ExpectedValueSettings&) const = default;
};

/// Picks the target with the highest expected value of a request: the estimated
/// probability that the response arrives within the objective or at least
/// before the deadline, less the cost of a transfer to another zone. Draws
/// among targets of nearly equal value in proportion to their free slots, so
/// that ingresses with the same hints do not all choose the same target.
class ExpectedValueChooser {
 public:
  explicit ExpectedValueChooser(const ExpectedValueSettings& settings = {});

  struct Choice {
    size_t index = 0;
    /// Whether a refused attempt could be redirected to another target of
    /// similar value.
    bool has_alternative = false;
    /// Expected value of the response of the chosen target, without costs.
    double answer_value = 0;
  };

  /// Returns the choice among `candidates`, which must not be empty.
  Choice Choose(std::span<const Candidate> candidates,
                const RequestTerms& terms,
                Time now,
                Random& random) const;
  /// Returns whether a request with this choice should be sent at all.
  bool IsWorthTrying(const Choice& choice) const {
    return choice.answer_value >= settings_.min_answer_value;
  }
  /// Returns the expected value of the request at `candidate`: 1 if a response
  /// within the objective is certain, less costs.
  double Value(const Candidate& candidate,
               const RequestTerms& terms,
               Time now) const;
  /// Returns the same without costs: the value of the response.
  double AnswerValue(const Candidate& candidate,
                     const RequestTerms& terms,
                     Time now) const;
  /// Returns the expected time from `now` until the response of `candidate`:
  /// transfer, queueing and service time.
  Duration ExpectedDuration(const Candidate& candidate,
                            const RequestTerms& terms,
                            Time now) const;

 private:
  double Load(const Candidate& candidate, Time now) const;

  ExpectedValueSettings settings_;
};

}  // namespace ibisvalve::policy
