#pragma once

/// Public header of the observe library: metrics, and how fast the services
/// use up their error budgets.

#include "observe/metrics_text.h"  // IWYU pragma: export
