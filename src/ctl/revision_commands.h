#pragma once

#include "ctl/session.h"

namespace ibisvalve::ctl {

/// `show`: prints the active configuration file, or that of a revision.
ExitCode RunShow(Session& session);
/// `history`: lists the revisions.
ExitCode RunHistory(Session& session);
/// `diff A [B]`: compares two of: a revision's number, "active", a file.
ExitCode RunDiff(Session& session);

}  // namespace ibisvalve::ctl
