#pragma once

#include "base/base.h"

namespace ibisvalve::dataplane {

inline constexpr EventCode kTargetStateChanged{1501, Severity::kInfo,
                                               "target_state"};
inline constexpr EventCode kDrainChanged{1502, Severity::kInfo, "drain"};
inline constexpr EventCode kMeshLinkRefused{1503, Severity::kWarning,
                                            "mesh_link_refused"};
inline constexpr EventCode kMeshLinkLost{1504, Severity::kInfo,
                                         "mesh_link_lost"};
inline constexpr EventCode kMeshLinkSilent{1505, Severity::kWarning,
                                           "mesh_link_silent"};
inline constexpr EventCode kTargetBroke{1506, Severity::kWarning,
                                        "target_broke"};
inline constexpr EventCode kTargetIdentified{1508, Severity::kInfo,
                                             "target_identified"};
inline constexpr EventCode kTargetReplaced{1509, Severity::kWarning,
                                           "target_replaced"};
inline constexpr EventCode kAnnouncementLate{1510, Severity::kInfo,
                                             "announcement_late"};
inline constexpr EventCode kOtherRunDeparts{1514, Severity::kInfo,
                                            "other_run_departs"};
inline constexpr EventCode kTargetLimit{1511, Severity::kInfo, "target_limit"};
inline constexpr EventCode kTargetLeaves{1512, Severity::kInfo,
                                         "target_leaves"};
inline constexpr EventCode kCrashesTold{1513, Severity::kInfo, "crashes_told"};
inline constexpr EventCode kRequestSent{1520, Severity::kInfo, "request_sent"};
inline constexpr EventCode kRequestAnswered{1521, Severity::kInfo,
                                            "request_answered"};
inline constexpr EventCode kRequestFailed{1522, Severity::kWarning,
                                          "request_failed"};
inline constexpr EventCode kRequestRefused{1523, Severity::kWarning,
                                           "request_refused"};
inline constexpr EventCode kAttemptWaits{1524, Severity::kInfo,
                                         "attempt_waits"};
inline constexpr EventCode kAttemptRefused{1525, Severity::kInfo,
                                           "attempt_refused"};
inline constexpr EventCode kAttemptEnded{1526, Severity::kInfo,
                                         "attempt_ended"};
inline constexpr EventCode kRequestCrashing{1527, Severity::kWarning,
                                            "request_crashing"};
inline constexpr EventCode kTargetCold{1540, Severity::kInfo, "target_cold"};
inline constexpr EventCode kZonesChanged{1541, Severity::kInfo,
                                         "zones_changed"};
inline constexpr EventCode kPlaneStopped{1507, Severity::kInfo,
                                         "plane_stopped"};

}  // namespace ibisvalve::dataplane
