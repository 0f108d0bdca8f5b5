#pragma once

#include "base/base.h"

namespace ibisvalve::node {

inline constexpr EventCode kProcessStarted{1001, Severity::kInfo,
                                           "process_started"};
inline constexpr EventCode kProcessStopping{1002, Severity::kInfo,
                                            "process_stopping"};
inline constexpr EventCode kProcessStopped{1003, Severity::kInfo,
                                           "process_stopped"};
inline constexpr EventCode kStartRefused{1004, Severity::kError,
                                         "start_refused"};
inline constexpr EventCode kRevisionInForce{1005, Severity::kInfo,
                                            "revision_in_force"};
inline constexpr EventCode kRevisionRefused{1006, Severity::kError,
                                            "revision_refused"};
inline constexpr EventCode kLeaseGained{1007, Severity::kInfo, "lease_gained"};
inline constexpr EventCode kLeaseLost{1008, Severity::kWarning, "lease_lost"};
inline constexpr EventCode kDepartureRefused{1013, Severity::kWarning,
                                             "departure_refused"};
inline constexpr EventCode kSettingsChanged{1011, Severity::kInfo,
                                            "settings_changed"};
inline constexpr EventCode kSettingsRefused{1012, Severity::kError,
                                            "settings_refused"};

}  // namespace ibisvalve::node
