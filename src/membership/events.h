#pragma once

#include "base/base.h"

namespace ibisvalve::membership {

inline constexpr EventCode kStarted{1301, Severity::kInfo,
                                    "membership-started"};
inline constexpr EventCode kMemberChanged{1302, Severity::kInfo,
                                          "member-changed"};
inline constexpr EventCode kMemberDead{1303, Severity::kWarning, "member-dead"};
inline constexpr EventCode kMemberUnreachable{1304, Severity::kWarning,
                                              "member-unreachable"};
inline constexpr EventCode kIdentityTaken{1305, Severity::kError,
                                          "identity-taken"};
inline constexpr EventCode kIdentityClaimedTwice{1306, Severity::kError,
                                                 "identity-claimed-twice"};
inline constexpr EventCode kBadDatagram{1307, Severity::kWarning,
                                        "bad-datagram"};
inline constexpr EventCode kTableFull{1308, Severity::kError,
                                      "member-table-full"};

}  // namespace ibisvalve::membership
