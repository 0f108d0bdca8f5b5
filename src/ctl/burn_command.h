#pragma once

#include "ctl/session.h"
#include "observe/observe.h"

namespace ibisvalve::ctl {

/// The burn of the whole fleet, and the nodes it was read from.
struct FleetBurn {
  observe::BurnReport report;
  size_t nodes = 0;                      // that were read
  std::vector<std::string> unreachable;  // with the reason
  std::string made_at;                   // wall-clock time, UTC
};

/// `report burn`: merges the burn of all nodes; prints it, and writes a page
/// where `--html` names a file.
ExitCode RunReport(Session& session);

}  // namespace ibisvalve::ctl
