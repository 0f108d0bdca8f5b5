#pragma once

#include <string>
#include <vector>

#include "ctl/session.h"

namespace ibisvalve::ctl {

/// Returns what is wrong with `text`, a configuration file or a daemon's
/// settings; `file` names it. The top keys tell which of the two it is.
std::vector<Finding> CheckFile(const std::string& text,
                               const std::string& file);

/// Prints `findings`, a line each or as JSON.
void PrintFindings(Session& session, const std::vector<Finding>& findings);

/// `validate FILE...`: checks files without any daemon.
ExitCode RunValidate(Session& session);

}  // namespace ibisvalve::ctl
