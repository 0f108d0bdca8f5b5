#pragma once

#include <string>

#include "dataplane/gate_run.h"
#include "dataplane/node_plane.h"
#include "dataplane/target_client.h"

namespace ibisvalve::dataplane {

/// Status with which a target says that a request is meant for another one.
inline constexpr uint16_t kMisdirected = 421;

/// Returns the request that the target is sent for a run that has just been
/// dispatched. Only the target with `identity` may run it; empty: any.
TargetRequest TargetRequestFor(const GateRun& run,
                               const PlaneSettings& settings,
                               const std::string& identity);

/// Returns whether the target proves with `head` that it does not run a
/// request.
bool Declines(const TargetHead& head, const HeaderNames& names);

}  // namespace ibisvalve::dataplane
