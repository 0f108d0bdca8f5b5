#pragma once

#include "claims/claims.h"
#include "dataplane/gate_reply.h"
#include "dataplane/load_watch.h"
#include "policy/policy.h"
#include "wire/wire.h"

namespace ibisvalve::dataplane {

/// Returns the load of a target, as its gate knows it.
wire::LoadHint HintOf(const policy::Admission& admission,
                      const LoadWatch& load,
                      Revision revision);

/// Sends how an attempt ended to `port`, in frames that carry `reply_as`: the
/// kept answer, or that there is none.
void SendFinished(const claims::FinishedAttempt& finished,
                  const AttemptId& reply_as,
                  const ReplyPort& port,
                  Revision revision,
                  const wire::LoadHint& hint);

}  // namespace ibisvalve::dataplane
