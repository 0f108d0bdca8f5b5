#pragma once

#include "ctl/session.h"

namespace ibisvalve::ctl {

/// `drain [NODE]`: the node's target gets no new work.
ExitCode RunDrain(Session& session);
/// `undrain [NODE]`: undoes `drain`.
ExitCode RunUndrain(Session& session);
/// `quarantine [lift FINGERPRINT]`: requests that crashed targets, on all
/// nodes.
ExitCode RunQuarantine(Session& session);

}  // namespace ibisvalve::ctl
