#pragma once

#include "claims/claims.h"
#include "dataplane/gate_reply.h"
#include "dataplane/load_tracker.h"
#include "policy/policy.h"
#include "wire/wire.h"

namespace ibisvalve::dataplane {

/// Returns the load hint of a gate, from the admission and load state of its
/// target.
wire::LoadHint MakeLoadHint(const policy::Admission& admission,
                            const LoadTracker& load,
                            Duration backlog,
                            Revision revision,
                            Time now);

/// Sends the result of a finished attempt to `port`, in frames that carry the
/// id `reply_as`: the stored response, or AttemptFailed with the `crashes` of
/// the request if there is none.
void SendAttemptResult(const claims::FinishedAttempt& finished,
                       const AttemptId& reply_as,
                       const ReplyPort& port,
                       Revision revision,
                       const wire::LoadHint& hint,
                       const world::CrashRecord& crashes);

/// Returns the number of bytes of a response's body in `reply`.
uint64_t BodyBytesIn(const GateReply& reply);

}  // namespace ibisvalve::dataplane
