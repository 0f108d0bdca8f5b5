#pragma once

#include <functional>
#include <string>

#include "config/config.h"
#include "control/control.h"
#include "dataplane/dataplane.h"
#include "membership/membership.h"
#include "net/net.h"
#include "observe/observe.h"

namespace ibisvalve::node {

/// The components of a node whose state the admin endpoints return.
struct NodeComponents {
  const membership::MembershipService& membership;
  const dataplane::NodePlane& plane;
  const control::NodeAgent& agent;
  const observe::BurnMeter& burn;
};

/// Registers the read-only endpoints of a node on `admin`: GET /healthz,
/// /status, /members, /targets, /burn and /metrics. `status` returns the body
/// of /status. The components in `parts` must outlive `admin`.
void ServeNodePages(net::AdminServer& admin,
                    const NodeComponents& parts,
                    std::function<std::string()> status);

/// Converts the target selection policy of the settings file to the one of the
/// policy library.
policy::ChoiceKind ToChoiceKind(config::ChoicePolicy policy);

}  // namespace ibisvalve::node
