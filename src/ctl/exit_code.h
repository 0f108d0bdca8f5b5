#pragma once

namespace ibisvalve::ctl {

/// Exit codes of ibisctl; docs/OPERATIONS.md promises them.
enum class ExitCode : int {
  kOk = 0,
  kRefused = 1,      // the system refused it, or it failed
  kUsage = 2,        // wrong command line, or an invalid file
  kUnreachable = 3,  // nobody could be reached; nothing was sent
  kUnknown = 4,      // sent, but what became of it is not known
};

}  // namespace ibisvalve::ctl
