#pragma once

#include <map>
#include <vector>

#include "control/activation_tracker.h"

namespace ibisvalve::control {

/// Age of a node's last report at which the node may be cut off. A node that
/// follows a keeper reports every 500 ms; the rest allows for a slow report and
/// its way to the leader.
inline constexpr Duration kReportTimeout = std::chrono::milliseconds(1200);

/// What is to reach the nodes.
struct PropagationGoal {
  Revision revision;
  uint64_t zones = 0;  // version of the zone orders

  auto operator<=>(const PropagationGoal&) const = default;
};

/// How far a goal has reached the nodes, as reported to the leader.
struct Propagation {
  size_t confirmed = 0;         // nodes that reported this or something later
  std::vector<NodeId> lagging;  // nodes that report an older one
  // Nodes whose last report names an older one and is too old to tell.
  std::vector<NodeId> silent;
  size_t silent_with_lease = 0;  // of the silent nodes

  auto operator<=>(const Propagation&) const = default;
};

/// Returns how far `goal` has reached the nodes of `sessions` at `now`.
/// Nodes without any active revision and superseded incarnations are not
/// counted.
Propagation MeasurePropagation(
    const std::map<ActivationTracker::Key, NodeSession>& sessions,
    const PropagationGoal& goal,
    Time now);

}  // namespace ibisvalve::control
