#pragma once

#include "ctl/session.h"

namespace ibisvalve::ctl {

/// `show`: prints the active configuration file, or the one of a given
/// revision.
ExitCode RunShow(Session& session);
/// `history`: lists all revisions with their state and change.
ExitCode RunHistory(Session& session);
/// `diff A [B]`: compares two configuration files, each given as a revision
/// number, "active" or a file name. With A only, compares the active file
/// with A.
ExitCode RunDiff(Session& session);

}  // namespace ibisvalve::ctl
