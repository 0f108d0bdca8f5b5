#pragma once

/// Public header of the claims library: what a gate remembers of attempts, so
/// that none runs twice and none that ran is called not run.

#include "claims/attempt_table.h"  // IWYU pragma: export
