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

/// What a gate knows of its target when it decides on a request.
struct GateView {
  const policy::Admission& admission;
  const LoadWatch& load;
  world::TargetState target;
  const HeaderNames& names;
};

/// Logs that a request waits or is refused, with what decided it.
void LogGateDecision(const EventCode& code,
                     const wire::OpenAttempt& open,
                     world::Reason reason,
                     const GateView& view);

/// Logs that a request ended which the target `target` was sent `ran` ago.
void LogGateEnd(const GateRun& run,
                const claims::FinishedAttempt& finished,
                Duration ran,
                const std::string& target,
                const HeaderNames& names);

}  // namespace ibisvalve::dataplane
