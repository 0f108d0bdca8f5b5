#pragma once

/// Public header of the control library.

#include "control/keeper.h"      // IWYU pragma: export
#include "control/node_agent.h"  // IWYU pragma: export
