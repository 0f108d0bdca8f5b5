#include "policy/weighted_round_robin.h"

#include <glog/logging.h>

#include <algorithm>

namespace ibisvalve::policy {

const ServiceName& WeightedRoundRobin::Next(const world::Route& route) {
  CHECK(!route.targets.empty()) << "route has no targets";
  if (route.targets.size() == 1) {
    return route.targets.front().service;
  }
  RouteState& state = routes_[route.name];
  if (state.targets != route.targets) {
    ResetCredits(state, route);
  }
  double total = 0;
  for (const world::RouteTarget& target : route.targets) {
    total += target.weight;
  }
  for (size_t i = 0; i < state.credits.size(); ++i) {
    state.credits[i] += total > 0
                            ? route.targets[i].weight / total
                            : 1.0 / static_cast<double>(state.credits.size());
  }
  const auto next =
      std::max_element(state.credits.begin(), state.credits.end());
  *next -= 1;
  return route.targets[static_cast<size_t>(next - state.credits.begin())]
      .service;
}

void WeightedRoundRobin::ResetCredits(RouteState& state,
                                      const world::Route& route) {
  state.targets = route.targets;
  state.credits.clear();
  std::uniform_real_distribution<double> offset(0, 1);
  for (const world::RouteTarget& target : route.targets) {
    state.credits.push_back(target.weight > 0 ? offset(random_) : 0);
  }
}

}  // namespace ibisvalve::policy
