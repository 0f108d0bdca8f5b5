#pragma once

namespace ibisvalve::ctl {

/// Exit codes of ibisctl. They are documented in docs/OPERATIONS.md and must
/// stay stable.
enum class ExitCode : int {
  kOk = 0,
  kRefused = 1,      // the command was refused or failed
  kUsage = 2,        // invalid command line or file
  kUnreachable = 3,  // no daemon could be reached; nothing was sent
  kUnknown = 4,      // sent, but the outcome is unknown
};

}  // namespace ibisvalve::ctl
