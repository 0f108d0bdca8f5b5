#pragma once

/// Public header of the ctl library: what operators can ask and tell the
/// system, as `ibisctl` does.

#include "ctl/commands.h"   // IWYU pragma: export
#include "ctl/exit_code.h"  // IWYU pragma: export
#include "ctl/options.h"    // IWYU pragma: export
