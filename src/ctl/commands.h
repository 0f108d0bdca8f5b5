#pragma once

#include <ostream>
#include <string>

#include "ctl/exit_code.h"
#include "ctl/options.h"
#include "net/net.h"

namespace ibisvalve::ctl {

/// Runs the command that `options` names. Answers go to `out`, faults and
/// progress to `err`. Runs `loop` while it waits; throws nothing.
ExitCode RunCommand(net::EventLoop& loop,
                    const Options& options,
                    std::ostream& out,
                    std::ostream& err);

/// Returns the help page: all commands, or `command` alone where it is one.
std::string HelpText(const std::string& command);

}  // namespace ibisvalve::ctl
