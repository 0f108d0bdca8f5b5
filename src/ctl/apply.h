#pragma once

#include "ctl/session.h"

namespace ibisvalve::ctl {

/// `apply FILE`: offers a configuration file to the keepers, and by default
/// waits until it is in force everywhere or withdrawn. The same change is
/// sent again, to the next keeper, whenever an answer is lost.
ExitCode RunApply(Session& session);

}  // namespace ibisvalve::ctl
