#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "policy/choice.h"
#include "world/world.h"

namespace ibisvalve::policy {

/// Smooth weighted round robin over the services of each route: at any
/// time each service has received its share by weight to within a few requests.
/// The initial credits are random, so that nodes with few requests each do not
/// all start with the same service.
class WeightedRoundRobin {
 public:
  explicit WeightedRoundRobin(Random& random) : random_(random) {}

  /// Returns the service for the next request of `route`, which must have at
  /// least one target.
  const ServiceName& Next(const world::Route& route);

 private:
  struct RouteState {
    std::vector<world::RouteTarget> targets;
    std::vector<double> credits;  // credit of each target, in requests
  };

  void ResetCredits(RouteState& state, const world::Route& route);

  Random& random_;
  std::map<std::string, RouteState> routes_;  // by route name
};

}  // namespace ibisvalve::policy
