#pragma once

#include <cstdint>
#include <string>
#include <utility>

#include "dataplane/header_names.h"
#include "dataplane/node_plane.h"
#include "dataplane/request_state.h"
#include "wire/wire.h"

namespace ibisvalve::dataplane {

/// Logs that `attempt` was sent to its gate at `now`. `hint` is the last hint
/// of that gate and its age in milliseconds.
void LogSent(const RequestState& request,
             const IngressAttempt& attempt,
             const HeaderNames& names,
             Revision revision,
             const std::pair<wire::LoadHint, uint64_t>& hint,
             Time now);

/// Logs which request crashes targets: a target has broken the connection while
/// it ran it, or it is refused for the crashes in `known`.
void LogCrashing(const CallerRequest& request,
                 const world::RequestIdentity& identity,
                 const world::CrashRecord& known,
                 const PlaneSettings& settings);

/// Logs that a request was refused before any gate was contacted.
void LogRefused(const CallerRequest& request,
                world::Reason reason,
                const std::string& detail,
                const std::string& service,
                Revision revision,
                const HeaderNames& names);

/// Logs the end of a request.
void LogEnd(const RequestState& request,
            const RequestRecord& record,
            const HeaderNames& names);

}  // namespace ibisvalve::dataplane
