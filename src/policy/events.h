#pragma once

#include "base/base.h"

namespace ibisvalve::policy {

inline constexpr EventCode kTargetEjected{1701, Severity::kWarning,
                                          "target-ejected"};
inline constexpr EventCode kRequestSuspected{1702, Severity::kWarning,
                                             "request-suspected"};
inline constexpr EventCode kRequestQuarantined{1703, Severity::kError,
                                               "request-quarantined"};
inline constexpr EventCode kQuarantineLifted{1704, Severity::kInfo,
                                             "quarantine-lifted"};
inline constexpr EventCode kCrashAlreadyKnown{1708, Severity::kInfo,
                                              "crash-already-known"};
inline constexpr EventCode kSuspectCleared{1709, Severity::kInfo,
                                           "suspect-cleared"};
inline constexpr EventCode kResourceQuarantined{1710, Severity::kError,
                                                "resource-quarantined"};
inline constexpr EventCode kCrashRefuted{1711, Severity::kInfo,
                                         "crash-refuted"};
inline constexpr EventCode kHarmlessInFlight{1712, Severity::kInfo,
                                             "harmless-in-flight"};
inline constexpr EventCode kLimitLowered{1705, Severity::kWarning,
                                         "limit-lowered"};
inline constexpr EventCode kLimitRestored{1706, Severity::kInfo,
                                          "limit-restored"};
inline constexpr EventCode kBudgetEmpty{1707, Severity::kWarning,
                                        "retry-budget-empty"};

}  // namespace ibisvalve::policy
