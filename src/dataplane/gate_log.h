#pragma once

#include <string>

#include "claims/claims.h"
#include "dataplane/gate_run.h"
#include "dataplane/header_names.h"
#include "dataplane/load_watch.h"
#include "policy/policy.h"
#include "wire/wire.h"
#include "world/world.h"

namespace ibisvalve::dataplane {

/// State of a gate and its target when the gate decides on a request, for logs.
struct GateView {
  const policy::Admission& admission;
  const LoadWatch& load;
  world::TargetState target;
  const HeaderNames& names;
};

/// Logs that a request was queued or refused, with the state that the decision
/// was based on.
void LogGateDecision(const EventCode& code,
                     const wire::OpenAttempt& open,
                     world::Reason reason,
                     const GateView& view);

/// Logs the end of an attempt that was sent to the target with the identity
/// `target`, `ran` after it was sent.
void LogGateEnd(const GateRun& run,
                const claims::FinishedAttempt& finished,
                Duration ran,
                const std::string& target,
                const HeaderNames& names);

}  // namespace ibisvalve::dataplane
