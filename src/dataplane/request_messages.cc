#include "dataplane/request_messages.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>

#include "dataplane/http_headers.h"

namespace ibisvalve::dataplane {
namespace {

// Returns `duration` in seconds with three decimal places.
std::string ToSeconds(Duration duration) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f",
                std::chrono::duration<double>(duration).count());
  return text.data();
}

}  // namespace

wire::OpenAttempt OpenFor(const RequestState& request,
                          const IngressAttempt& attempt,
                          const PlaneSettings& settings,
                          Revision revision,
                          Time now) {
  const HeaderNames& names = settings.names;
  const CallerRequest& asked = request.exchange->request();
  wire::OpenAttempt open;
  open.id = attempt.id;
  open.gate = attempt.gate_incarnation;
  open.revision = revision;
  open.service = request.terms.service->name;
  open.method = asked.method;
  open.uri = asked.uri;
  open.headers = EndToEnd(asked.headers, names);
  open.remaining_us = static_cast<uint64_t>(
      std::max<int64_t>((request.deadline - now).count(), 0));
  open.depth = request.terms.depth;
  open.retry = request.terms.retry || request.made > 1;
  open.may_repeat = request.repeatable();
  open.key = request.terms.key;
  open.fingerprint = request.terms.fingerprint;
  open.body_bytes = asked.body.size();
  open.body = asked.body.substr(0, kPartBytes);
  open.body_complete = open.body.size() == asked.body.size();
  open.caller = settings.service;
  open.objective_us = static_cast<uint64_t>(std::max<int64_t>(
      (request.arrived + request.terms.objective - now).count(), 0));
  open.expected_us = static_cast<uint64_t>(request.ExpectedWork().count());
  open.priority = request.terms.priority;
  return open;
}

wire::Headers OutcomeHeaders(const HeaderNames& names,
                             world::Outcome outcome,
                             world::Reason reason,
                             uint32_t attempts) {
  if (!names.own) {
    return {};
  }
  return {{kOutcomeHeader, world::ToString(outcome)},
          {kReasonHeader, world::ToString(reason)},
          {kAttemptsHeader, std::to_string(attempts)}};
}

int ReplyWithoutAnswer(CallerExchange& exchange,
                       const HeaderNames& names,
                       const NoAnswer& told) {
  const int status = StatusFor(told.outcome, told.reason);
  wire::Headers headers =
      OutcomeHeaders(names, told.outcome, told.reason, told.attempts);
  const std::string* id =
      names.request_id.empty()
          ? nullptr
          : FindHeader(exchange.request().headers, names.request_id);
  if (id != nullptr) {
    headers.emplace_back(names.request_id, *id);
  }
  if (told.retry_after) {
    headers.emplace_back(names.retry_after, ToSeconds(*told.retry_after));
  }
  headers.emplace_back("Content-Type", "text/plain");
  if (told.first_status != 0) {
    headers.emplace_back(kFirstStatusHeader, std::to_string(told.first_status));
  }
  exchange.Reply(status, headers, told.detail + "\n", told.close);
  return status;
}

}  // namespace ibisvalve::dataplane
