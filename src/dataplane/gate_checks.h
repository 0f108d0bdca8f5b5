#pragma once

#include <optional>

#include "dataplane/fleet_view.h"
#include "dataplane/node_plane.h"
#include "policy/policy.h"
#include "wire/wire.h"
#include "world/world.h"

namespace ibisvalve::dataplane {

/// Returns why the gate of a node with `settings`, whose target is in `state`,
/// can't take `open` under `view`, or nothing. Load is not looked at.
std::optional<world::Reason> RefusalFor(const wire::OpenAttempt& open,
                                        const PlaneSettings& settings,
                                        const FleetView& view,
                                        world::TargetState state);

/// Returns the settings of admission for the target beside the node. `adapts`
/// says that rising service times mean too many requests at once, which they
/// do not where the target tells how much others slow its host down.
policy::AdmissionSettings AdmissionFor(const FleetView& view,
                                       const ServiceName& service,
                                       uint32_t slots,
                                       bool adapts);

}  // namespace ibisvalve::dataplane
