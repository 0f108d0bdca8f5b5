#pragma once

#include "ctl/session.h"

namespace ibisvalve::ctl {

/// `apply FILE`: sends a configuration file to the keepers and by default waits
/// until it is active on every node or withdrawn. Sends the same change to the
/// next keeper whenever an answer is lost.
ExitCode RunApply(Session& session);

}  // namespace ibisvalve::ctl
