#pragma once

#include <ostream>
#include <string>

#include "ctl/exit_code.h"
#include "ctl/options.h"
#include "net/net.h"

namespace ibisvalve::ctl {

/// Runs the command that `options` names. Writes results to `out`, and errors
/// and progress to `err`. Runs `loop` while it waits for answers. Reports
/// exceptions of the command as errors instead of throwing them.
ExitCode RunCommand(net::EventLoop& loop,
                    const Options& options,
                    std::ostream& out,
                    std::ostream& err);

/// Returns the help text of `command`, or a list of all commands if there is no
/// such command.
std::string HelpText(const std::string& command);

}  // namespace ibisvalve::ctl
