#pragma once

/// Public header of the observe library: metrics in text form, and the rate at
/// which services consume their error budgets.

#include "observe/burn_meter.h"    // IWYU pragma: export
#include "observe/burn_report.h"   // IWYU pragma: export
#include "observe/metrics_text.h"  // IWYU pragma: export
