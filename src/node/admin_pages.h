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

/// The parts of a node that its pages show.
struct NodeParts {
  const membership::MembershipService& membership;
  const dataplane::NodePlane& plane;
  const control::NodeAgent& agent;
  const observe::BurnMeter& burn;
};

/// Adds the pages that read a node back: GET /healthz, /status, /members,
/// /targets, /burn, /metrics. The parts must outlive `admin`.
void ServeNodePages(net::AdminServer& admin,
                    const NodeParts& parts,
                    std::function<std::string()> status);

/// Returns the chooser that a setting names.
policy::ChoiceKind ToChoiceKind(config::ChoicePolicy policy);

}  // namespace ibisvalve::node
