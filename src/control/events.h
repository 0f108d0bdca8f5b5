#pragma once

#include "base/base.h"

namespace ibisvalve::control {

inline constexpr EventCode kTornTail{1401, Severity::kWarning, "log-torn-tail"};
inline constexpr EventCode kKeeperStarted{1402, Severity::kInfo,
                                          "keeper-started"};
inline constexpr EventCode kBecameLeader{1403, Severity::kInfo,
                                         "became-leader"};
inline constexpr EventCode kLostLeadership{1404, Severity::kWarning,
                                           "lost-leadership"};
inline constexpr EventCode kGroupFounded{1405, Severity::kInfo,
                                         "group-founded"};
inline constexpr EventCode kMembersChanged{1406, Severity::kInfo,
                                           "keepers-changed"};
inline constexpr EventCode kSnapshotWritten{1407, Severity::kInfo,
                                            "snapshot-written"};
inline constexpr EventCode kSnapshotInstalled{1408, Severity::kInfo,
                                              "snapshot-installed"};
inline constexpr EventCode kForeignGroup{1409, Severity::kError,
                                         "foreign-group"};
inline constexpr EventCode kConfigStaged{1410, Severity::kInfo,
                                         "config-staged"};
inline constexpr EventCode kConfigActive{1411, Severity::kInfo,
                                         "config-active"};
inline constexpr EventCode kConfigWithdrawn{1412, Severity::kWarning,
                                            "config-withdrawn"};
inline constexpr EventCode kNodeFollows{1413, Severity::kInfo, "node-follows"};
inline constexpr EventCode kNodeLeft{1414, Severity::kInfo, "node-left"};
inline constexpr EventCode kLeaseGained{1420, Severity::kInfo, "lease-gained"};
inline constexpr EventCode kLeaseLost{1421, Severity::kWarning, "lease-lost"};
inline constexpr EventCode kKeeperLinkLost{1422, Severity::kWarning,
                                           "keeper-link-lost"};
inline constexpr EventCode kConfigRefused{1423, Severity::kError,
                                          "config-refused"};
inline constexpr EventCode kFileReceived{1426, Severity::kInfo,
                                         "file-received"};
inline constexpr EventCode kFileSent{1427, Severity::kInfo, "file-sent"};
inline constexpr EventCode kConfigPropagated{1428, Severity::kInfo,
                                             "config-propagated"};
inline constexpr EventCode kDiskFull{1429, Severity::kError, "disk-full"};
inline constexpr EventCode kDiskHasRoom{1430, Severity::kInfo, "disk-has-room"};
inline constexpr EventCode kDiskFailed{1425, Severity::kError, "disk-failed"};
inline constexpr EventCode kKeeperLeaves{1431, Severity::kInfo,
                                         "keeper-leaves"};
inline constexpr EventCode kZoneOrdered{1432, Severity::kInfo, "zone-ordered"};
inline constexpr EventCode kZoneOrderSuperseded{1435, Severity::kWarning,
                                                "zone-order-superseded"};
inline constexpr EventCode kKeeperOrderSuperseded{1436, Severity::kWarning,
                                                  "keeper-order-superseded"};
inline constexpr EventCode kTargetDeparted{1437, Severity::kInfo,
                                           "target-departed"};
inline constexpr EventCode kZoneOrderAnswered{1433, Severity::kInfo,
                                              "zone-order-answered"};
inline constexpr EventCode kZonesReceived{1434, Severity::kInfo,
                                          "zones-received"};
inline constexpr EventCode kQuotasEmptied{1440, Severity::kInfo,
                                          "quotas-emptied"};
inline constexpr EventCode kChangeRefused{1424, Severity::kInfo,
                                          "change-refused"};

}  // namespace ibisvalve::control
