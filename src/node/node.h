#pragma once

/// Public header of the node library, which assembles the components of a
/// process on one event loop.

#include "node/events.h"          // IWYU pragma: export
#include "node/keeper_process.h"  // IWYU pragma: export
#include "node/node_process.h"    // IWYU pragma: export
#include "node/run.h"             // IWYU pragma: export
#include "node/settings_watch.h"  // IWYU pragma: export
