#pragma once

#include <compare>
#include <cstdint>
#include <map>

#include "base/base.h"

namespace ibisvalve::policy {

/// Settings of ejection for one service.
struct EjectionSettings {
  uint32_t consecutive_failures = 5;
  double failure_share = 0.5;  // of at least min_results recent results
  uint32_t min_results = 20;
  double max_ejected = 0.5;  // share of the service's targets, at any time
  Duration first = std::chrono::seconds(1);  // doubles each time
  Duration longest = std::chrono::seconds(30);
  Duration reentry = std::chrono::seconds(5);  // from no traffic to full

  auto operator<=>(const EjectionSettings&) const = default;
};

/// Takes targets that fail out of use for a while. One for each service at an
/// ingress. A refusal as not run is no failure; a broken run or a 5xx is.
class Ejection {
 public:
  explicit Ejection(const EjectionSettings& settings = {});

  /// Adds a target of the service; known ones stay as they are.
  void Add(const NodeId& target);
  /// Drops a target for good.
  void Remove(const NodeId& target);
  /// An attempt at `target` ended; returns whether that ejected it.
  bool OnResult(const NodeId& target, bool failed, Time now);
  /// Returns 1 while `target` is ejected, falling to 0 as it re-enters.
  double Factor(const NodeId& target, Time now) const;
  /// Returns how many targets are ejected, those re-entering not counted.
  uint32_t ejected(Time now) const;

 private:
  struct State {
    uint32_t consecutive = 0;
    double results = 0;  // recent, fading with each result
    double failures = 0;
    uint32_t ejections = 0;  // in a row; sets the next duration
    Time until{};            // end of the ejection
  };

  bool ShouldEject(const State& state, Time now) const;
  bool HasRoom(Time now) const;
  void Eject(State& state, Time now);

  EjectionSettings settings_;
  std::map<NodeId, State> targets_;
};

}  // namespace ibisvalve::policy
