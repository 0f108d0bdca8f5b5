#pragma once

#include "dataplane/node_plane.h"
#include "dataplane/request_state.h"
#include "wire/wire.h"

namespace ibisvalve::dataplane {

/// Returns the frame that asks a gate to run `attempt` of `request`.
wire::OpenAttempt OpenFor(const RequestState& request,
                          const IngressAttempt& attempt,
                          const PlaneSettings& settings,
                          Revision revision,
                          Time now);

/// Returns the headers that tell a caller what became of its request.
wire::Headers OutcomeHeaders(const HeaderNames& names,
                             world::Outcome outcome,
                             world::Reason reason,
                             uint32_t attempts);

/// What a caller is told in place of an answer.
struct NoAnswer {
  world::Outcome outcome = world::Outcome::kNotRun;
  world::Reason reason = world::Reason::kNone;
  uint32_t attempts = 0;
  uint16_t first_status = 0;  // of the first run of its key, if known
  std::string detail;
  bool close = false;  // the connection can't be trusted any more
  std::optional<Duration> retry_after;  // when to come back
};

/// Tells the caller and returns the HTTP status.
int ReplyWithoutAnswer(CallerExchange& exchange,
                       const HeaderNames& names,
                       const NoAnswer& told);

}  // namespace ibisvalve::dataplane
