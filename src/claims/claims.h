#pragma once

/// Public header of the claims library: the record of attempts at a gate, which
/// guarantees that no attempt runs twice and that no attempt that ran is
/// reported as not run.

#include "claims/attempt_table.h"  // IWYU pragma: export
