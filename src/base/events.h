#pragma once

#include "base/event_log.h"

namespace ibisvalve {

inline constexpr EventCode kLogDropped{1010, Severity::kWarning, "log_dropped"};

}  // namespace ibisvalve
