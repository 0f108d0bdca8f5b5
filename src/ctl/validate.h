#pragma once

#include <string>
#include <vector>

#include "ctl/session.h"

namespace ibisvalve::ctl {

/// Returns the findings for `text`, which is either a configuration file or the
/// settings of a daemon; the top-level keys decide which. `file` is the file
/// name used in findings.
std::vector<Finding> CheckFile(const std::string& text,
                               const std::string& file);

/// Prints `findings`, one per line or as JSON.
void PrintFindings(Session& session, const std::vector<Finding>& findings);

/// `validate FILE...`: checks files without contacting a daemon.
ExitCode RunValidate(Session& session);

}  // namespace ibisvalve::ctl
