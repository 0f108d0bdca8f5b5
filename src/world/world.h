#pragma once

/// Public header of the world library: value types for the fleet's regions,
/// availability zones, network links, services, contracts, routes and members.

#include "world/crash.h"          // IWYU pragma: export
#include "world/departed_runs.h"  // IWYU pragma: export
#include "world/endpoint.h"       // IWYU pragma: export
#include "world/fleet.h"          // IWYU pragma: export
#include "world/hosted_run.h"     // IWYU pragma: export
#include "world/member.h"         // IWYU pragma: export
#include "world/outcome.h"        // IWYU pragma: export
