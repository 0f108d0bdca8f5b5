#pragma once

#include "ctl/session.h"
#include "observe/observe.h"

namespace ibisvalve::ctl {

/// Error budget consumption of the whole fleet, and the nodes that reported it.
struct FleetBurn {
  observe::BurnReport report;
  size_t nodes = 0;  // number of nodes whose report was merged
  std::vector<std::string>
      unreachable;      // nodes without a report, each with its error
  std::string made_at;  // wall-clock time, UTC
};

/// `report burn`: merges the burn reports of all nodes and prints the result.
/// Also writes an HTML page if `--html` names a file.
ExitCode RunReport(Session& session);

}  // namespace ibisvalve::ctl
