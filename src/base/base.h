#pragma once

/// Public header of the base library: time, identifiers, findings, event log
/// and metric samples.

#include "base/event_log.h"   // IWYU pragma: export
#include "base/finding.h"     // IWYU pragma: export
#include "base/ids.h"         // IWYU pragma: export
#include "base/json_depth.h"  // IWYU pragma: export
#include "base/line_sink.h"   // IWYU pragma: export
#include "base/metric.h"      // IWYU pragma: export
#include "base/time.h"        // IWYU pragma: export
