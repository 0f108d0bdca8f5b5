#pragma once

/// Public header of the data plane library, which carries HTTP requests from
/// callers to targets and the responses back.

#include "dataplane/fleet_view.h"       // IWYU pragma: export
#include "dataplane/header_names.h"     // IWYU pragma: export
#include "dataplane/node_plane.h"       // IWYU pragma: export
#include "dataplane/target_registry.h"  // IWYU pragma: export
