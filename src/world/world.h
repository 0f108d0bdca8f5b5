#pragma once

/// Public header of the world library: machines, zones, links, contracts and
/// services as values.

#include "world/endpoint.h"  // IWYU pragma: export
#include "world/fleet.h"     // IWYU pragma: export
#include "world/member.h"    // IWYU pragma: export
#include "world/outcome.h"   // IWYU pragma: export
