#pragma once

#include <string>

#include "dataplane/gate_attempt.h"
#include "dataplane/node_plane.h"
#include "dataplane/target_client.h"

namespace ibisvalve::dataplane {

/// HTTP status (421 Misdirected Request) of a target that received a request
/// for another target.
inline constexpr uint16_t kMisdirectedRequest = 421;

/// Returns the HTTP request to the target for `attempt`, whose dispatch time is
/// set. Only the target with `identity` may run it; empty: any target.
TargetRequest MakeTargetRequest(const GateAttempt& attempt,
                                const PlaneSettings& settings,
                                const std::string& identity);

/// Returns whether the response with `head` proves that the target did not run
/// the request.
bool ProvesNotRun(const TargetHead& head, const HeaderNames& names);

}  // namespace ibisvalve::dataplane
