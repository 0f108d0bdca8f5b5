#pragma once

/// Public header of the dataplane library: from a caller's request to the
/// target and back.

#include "dataplane/fleet_view.h"       // IWYU pragma: export
#include "dataplane/header_names.h"     // IWYU pragma: export
#include "dataplane/node_plane.h"       // IWYU pragma: export
#include "dataplane/target_registry.h"  // IWYU pragma: export
