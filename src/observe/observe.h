#pragma once

/// Public header of the observe library: metrics, and how fast the services
/// use up their error budgets.

#include "observe/burn_meter.h"    // IWYU pragma: export
#include "observe/burn_report.h"   // IWYU pragma: export
#include "observe/metrics_text.h"  // IWYU pragma: export
