#pragma once

#include "dataplane/node_plane.h"
#include "dataplane/request_state.h"
#include "wire/wire.h"

namespace ibisvalve::dataplane {

/// Builds the frame that requests a gate to run `attempt` of `request`.
wire::OpenAttempt MakeOpenAttempt(const RequestState& request,
                                  const IngressAttempt& attempt,
                                  const PlaneSettings& settings,
                                  Revision revision,
                                  Time now);

/// Returns the headers that report the outcome of a request to its caller.
wire::Headers OutcomeHeaders(const HeaderNames& names,
                             world::Outcome outcome,
                             world::Reason reason,
                             uint32_t attempts);

/// Contents of the reply to a caller whose request got no response from a
/// target.
struct FailureReply {
  world::Outcome outcome = world::Outcome::kNotRun;
  world::Reason reason = world::Reason::kNone;
  uint32_t attempts = 0;
  uint16_t first_status = 0;  // status of the key's first run; 0: unknown
  std::string detail;
  bool close = false;  // message framing is unreliable; close the connection
  std::optional<Duration> retry_after;  // earliest time to retry
};

/// Sends the reply and returns its HTTP status.
int SendFailureReply(CallerExchange& exchange,
                     const HeaderNames& names,
                     const FailureReply& reply);

}  // namespace ibisvalve::dataplane
