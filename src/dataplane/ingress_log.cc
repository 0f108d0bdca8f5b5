#include "dataplane/ingress_log.h"

#include "dataplane/events.h"
#include "dataplane/http_headers.h"

namespace ibisvalve::dataplane {
namespace {

constexpr uint16_t kFirstServerError = 500;

}  // namespace

void LogSent(const RequestState& request,
             const IngressAttempt& attempt,
             const HeaderNames& names,
             Revision revision,
             const std::pair<wire::LoadHint, uint64_t>& hint,
             Time now) {
  const auto& [load, age] = hint;
  LogEvent(
      kRequestSent,
      {{"request", RequestIdOf(request.exchange->request().headers, names)},
       {"attempt", ToString(attempt.id)},
       {"kind", request.terms.kind},
       {"gate", attempt.gate.value},
       {"hedge", attempt.hedge ? "yes" : "no"},
       {"made", request.attempts_made},
       {"left_ms", ToMillis(request.deadline - now)},
       {"hint_age_ms", age},
       {"in_flight", load.in_flight},
       {"queued", load.queued},
       {"slowdown", load.slowdown_percent},
       {"pace", load.pace_percent},
       {"kib_us", load.transfer_us_per_kib},
       {"revision", revision.value}});
}

void LogCrashing(const CallerRequest& request,
                 const world::RequestIdentity& identity,
                 const world::CrashRecord& known,
                 const PlaneSettings& settings) {
  LogEvent(kRequestCrashing,
           {{"request", RequestIdOf(request.headers, settings.names)},
            {"fingerprint", ToHex(identity.request)},
            {"resource", ToHex(identity.resource)},
            {"method", request.method},
            {"caller", settings.service.value},
            {"crashes", uint64_t{known.crashes.size()}}});
}

void LogRefused(const CallerRequest& request,
                world::Reason reason,
                const std::string& detail,
                const std::string& service,
                Revision revision,
                const HeaderNames& names) {
  LogEvent(kRequestRefused, {{"request", RequestIdOf(request.headers, names)},
                             {"reason", world::ToString(reason)},
                             {"detail", detail},
                             {"service", service},
                             {"revision", revision.value}});
}

void LogEnd(const RequestState& request,
            const RequestRecord& record,
            const HeaderNames& names) {
  const bool answered = record.outcome == world::Outcome::kAnswered &&
                        record.status < kFirstServerError;
  LogEvent(
      answered ? kRequestAnswered : kRequestFailed,
      {{"request", RequestIdOf(request.exchange->request().headers, names)},
       {"kind", request.terms.kind},
       {"workspace", request.terms.workspace == nullptr
                         ? ""
                         : request.terms.workspace->name},
       {"outcome", world::ToString(record.outcome)},
       {"reason", world::ToString(record.reason)},
       {"status", record.status},
       {"gate", record.gate.value},
       {"made", record.attempts},
       {"took_ms", ToMillis(record.took)},
       {"hung_up", record.hung_up ? "yes" : "no"},
       {"returned", request.returned ? "yes" : "no"}});
}

}  // namespace ibisvalve::dataplane
