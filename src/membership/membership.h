#pragma once

/// Public header of the membership library.

#include "membership/membership_service.h"  // IWYU pragma: export
