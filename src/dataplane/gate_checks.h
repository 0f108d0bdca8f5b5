#pragma once

#include <optional>

#include "dataplane/fleet_view.h"
#include "dataplane/gate_attempt.h"
#include "dataplane/node_plane.h"
#include "policy/policy.h"
#include "wire/wire.h"
#include "world/world.h"

namespace ibisvalve::dataplane {

/// Returns why the gate of a node with `settings`, whose target is in `state`,
/// must refuse `open` under `view`; nothing if it may accept it. Does not
/// consider load.
std::optional<world::Reason> FindRefusalReason(const wire::OpenAttempt& open,
                                               const PlaneSettings& settings,
                                               const FleetView& view,
                                               world::TargetState state);

/// Returns the admission settings for the local target with `slots`. With
/// `adapts`, rising service times lower the concurrency limit, because they are
/// caused by too many requests at once. That does not hold for a target that
/// reports its slowdown: there, other workloads on its host may cause them.
policy::AdmissionSettings MakeAdmissionSettings(const FleetView& view,
                                                const ServiceName& service,
                                                uint32_t slots,
                                                bool adapts);

/// Returns what admission must know of `attempt`, whose service time is
/// expected to be `expected`.
policy::AdmissionTerms MakeAdmissionTerms(const GateAttempt& attempt,
                                          Duration expected);

}  // namespace ibisvalve::dataplane
