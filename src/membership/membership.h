#pragma once

/// Public header of the membership library.

#include "membership/gossip.h"              // IWYU pragma: export
#include "membership/membership_service.h"  // IWYU pragma: export
