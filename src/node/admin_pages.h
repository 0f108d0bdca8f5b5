#pragma once

#include <functional>
#include <string>

#include "config/config.h"
#include "control/control.h"
#include "dataplane/dataplane.h"
#include "membership/membership.h"
#include "net/net.h"

namespace ibisvalve::node {

/// Adds the pages that read a node back: GET /healthz, /status, /members,
/// /targets, /metrics. The parts must outlive `admin`.
void ServeNodePages(net::AdminServer& admin,
                    const membership::MembershipService& membership,
                    const dataplane::NodePlane& plane,
                    const control::NodeAgent& agent,
                    std::function<std::string()> status);

/// Returns the chooser that a setting names.
policy::ChoiceKind ToChoiceKind(config::ChoicePolicy policy);

}  // namespace ibisvalve::node
