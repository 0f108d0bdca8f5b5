#pragma once

#include <string>

#include "claims/claims.h"
#include "dataplane/gate_attempt.h"
#include "dataplane/header_names.h"
#include "dataplane/load_tracker.h"
#include "policy/policy.h"
#include "wire/wire.h"
#include "world/world.h"

namespace ibisvalve::dataplane {

/// State of a gate and its target when the gate decides on a request, for logs.
struct GateLogContext {
  const policy::Admission& admission;
  const LoadTracker& load;
  world::TargetState target;
  const HeaderNames& names;
};

/// Logs that a request was queued or refused, with the state that the decision
/// was based on.
void LogAdmissionDecision(const EventCode& code,
                          const wire::OpenAttempt& open,
                          world::Reason reason,
                          const GateLogContext& view);

/// Logs the end of an attempt that was sent to the target with the identity
/// `target`, `ran` after it was sent.
void LogAttemptEnd(const GateAttempt& attempt,
                   const claims::FinishedAttempt& finished,
                   Duration ran,
                   const std::string& target,
                   const HeaderNames& names);

}  // namespace ibisvalve::dataplane
