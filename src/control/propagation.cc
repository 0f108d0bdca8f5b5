#include "control/propagation.h"

#include <iterator>

namespace ibisvalve::control {

Propagation MeasurePropagation(
    const std::map<ActivationTracker::Key, NodeSession>& sessions,
    const PropagationGoal& goal,
    Time now) {
  Propagation propagation;
  for (auto entry = sessions.begin(); entry != sessions.end(); ++entry) {
    const auto next = std::next(entry);
    const NodeId& node = entry->first.first;
    const NodeSession& session = entry->second;
    const bool superseded = next != sessions.end() && next->first.first == node;
    if (superseded || session.report.active == Revision()) {
      continue;
    }
    if (session.report.active >= goal.revision &&
        session.report.zones >= goal.zones) {
      ++propagation.confirmed;
    } else if (now < session.reported + kReportTimeout) {
      propagation.lagging.push_back(node);
    } else {
      propagation.silent.push_back(node);
      propagation.silent_with_lease += now < session.lease_until ? 1 : 0;
    }
  }
  return propagation;
}

}  // namespace ibisvalve::control
