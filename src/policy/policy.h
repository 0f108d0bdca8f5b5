#pragma once

/// Public header of the policy library: pure decisions about load.

#include "policy/admission.h"  // IWYU pragma: export
#include "policy/choice.h"     // IWYU pragma: export
