#pragma once

#include <compare>
#include <cstdint>
#include <map>

#include "base/base.h"

namespace ibisvalve::policy {

/// Settings of outlier ejection for one service.
struct EjectionSettings {
  uint32_t consecutive_failures = 5;
  double failure_share = 0.5;  // among at least min_results recent results
  uint32_t min_results = 20;
  double max_ejected = 0.5;  // share of the targets
  // Doubles with each consecutive ejection.
  Duration base_ejection_time = std::chrono::seconds(1);
  Duration max_ejection_time = std::chrono::seconds(30);
  Duration readmission_ramp = std::chrono::seconds(5);  // to full traffic

  auto operator<=>(const EjectionSettings&) const = default;
};

/// Outlier detection for the targets of one service at one ingress: takes
/// failing targets out of load balancing for a limited time. Callers must
/// report a broken run or a 5xx status as a failure, but not a refusal without
/// a run.
class Ejection {
 public:
  explicit Ejection(const EjectionSettings& settings = {});

  /// Adds a target of the service; has no effect on a known one.
  void Add(const NodeId& target);
  /// Removes a target and its history.
  void Remove(const NodeId& target);
  /// Records the result of an attempt at `target`. Returns whether it caused an
  /// ejection.
  bool OnResult(const NodeId& target, bool failed, Time now);
  /// Returns 1 while `target` is ejected, then a value that falls linearly to 0
  /// over `readmission_ramp`.
  double EjectedShare(const NodeId& target, Time now) const;
  /// Returns the number of ejected targets, without those in re-admission.
  uint32_t ejected(Time now) const;

 private:
  struct State {
    uint32_t consecutive = 0;
    double results = 0;  // recent; decays with each result
    double failures = 0;
    uint32_t ejections = 0;  // consecutive; sets the next duration
    Time ejected_until{};    // end of the ejection
  };

  bool ShouldEject(const State& state, Time now) const;
  bool MayEjectAnother(Time now) const;
  void Eject(State& state, Time now);

  EjectionSettings settings_;
  std::map<NodeId, State> targets_;
};

}  // namespace ibisvalve::policy
