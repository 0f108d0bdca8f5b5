#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "policy/choice.h"
#include "world/world.h"

namespace ibisvalve::policy {

/// Deals the requests of each route out to its services in exactly the declared
/// proportions: after any number of requests no service is more than one
/// request off its share. Starts at a random point, so that many nodes which
/// each see few requests do not all begin with the same service.
class ShareRotation {
 public:
  explicit ShareRotation(Random& random) : random_(random) {}

  /// Returns the service that gets the next request of `route`.
  const ServiceName& Next(const world::Route& route);

 private:
  struct Turn {
    std::vector<world::RouteTarget> targets;
    std::vector<double> owed;  // requests that each is behind its share
  };

  void Restart(Turn& turn, const world::Route& route);

  Random& random_;
  std::map<std::string, Turn> turns_;  // by the route's name
};

}  // namespace ibisvalve::policy
