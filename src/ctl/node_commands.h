#pragma once

#include "ctl/session.h"

namespace ibisvalve::ctl {

/// `drain [NODE]`: stops sending new requests to the target of the node.
ExitCode RunDrain(Session& session);
/// `undrain [NODE]`: reverts `drain`.
ExitCode RunUndrain(Session& session);
/// `quarantine [lift FINGERPRINT]`: lists requests that crashed targets, or
/// lifts the quarantine of one, on all nodes.
ExitCode RunQuarantine(Session& session);

}  // namespace ibisvalve::ctl
