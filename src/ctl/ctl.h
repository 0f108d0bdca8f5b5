#pragma once

/// Public header of the ctl library, which implements the operator commands of
/// `ibisctl`.

#include "ctl/commands.h"   // IWYU pragma: export
#include "ctl/exit_code.h"  // IWYU pragma: export
#include "ctl/options.h"    // IWYU pragma: export
