#include "policy/share_rotation.h"

#include <glog/logging.h>

#include <algorithm>

namespace ibisvalve::policy {

const ServiceName& ShareRotation::Next(const world::Route& route) {
  CHECK(!route.targets.empty()) << "route has no targets";
  if (route.targets.size() == 1) {
    return route.targets.front().service;
  }
  Turn& turn = turns_[route.name];
  if (turn.targets != route.targets) {
    Restart(turn, route);
  }
  double total = 0;
  for (const world::RouteTarget& target : route.targets) {
    total += target.weight;
  }
  for (size_t i = 0; i < turn.owed.size(); ++i) {
    turn.owed[i] += total > 0 ? route.targets[i].weight / total
                              : 1.0 / static_cast<double>(turn.owed.size());
  }
  const auto next = std::max_element(turn.owed.begin(), turn.owed.end());
  *next -= 1;
  return route.targets[static_cast<size_t>(next - turn.owed.begin())].service;
}

void ShareRotation::Restart(Turn& turn, const world::Route& route) {
  turn.targets = route.targets;
  turn.owed.clear();
  std::uniform_real_distribution<double> offset(0, 1);
  for (const world::RouteTarget& target : route.targets) {
    turn.owed.push_back(target.weight > 0 ? offset(random_) : 0);
  }
}

}  // namespace ibisvalve::policy
