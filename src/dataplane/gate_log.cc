#include "dataplane/gate_log.h"

#include "dataplane/events.h"
#include "dataplane/http_headers.h"

namespace ibisvalve::dataplane {
namespace {

constexpr uint64_t kMicrosPerMs = 1000;

}  // namespace

void LogAdmissionDecision(const EventCode& code,
                          const wire::OpenAttempt& open,
                          world::Reason reason,
                          const GateLogContext& view) {
  LogEvent(code, {{"request", RequestIdOf(open.headers, view.names)},
                  {"attempt", ToString(open.id)},
                  {"reason", world::ToString(reason)},
                  {"running", view.admission.in_flight()},
                  {"queued", view.admission.queued()},
                  {"limit", view.admission.capacity()},
                  {"slowdown", wire::ToPercent(view.load.slowdown())},
                  {"load_age_ms", ToMillis(view.load.age())},
                  {"target", world::ToString(view.target)}});
}

void LogAttemptEnd(const GateAttempt& attempt,
                   const claims::FinishedAttempt& finished,
                   Duration ran,
                   const std::string& target,
                   const HeaderNames& names) {
  LogEvent(kAttemptEnded,
           {{"request", RequestIdOf(attempt.open.headers, names)},
            {"attempt", ToString(attempt.open.id)},
            {"outcome", world::ToString(finished.outcome)},
            {"reason", world::ToString(finished.reason)},
            {"status", finished.status},
            {"ran_ms", ToMillis(ran)},
            {"expected_ms", attempt.open.expected_us / kMicrosPerMs},
            {"target_is", target}});
}

}  // namespace ibisvalve::dataplane
