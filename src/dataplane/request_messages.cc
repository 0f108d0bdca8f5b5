#include "dataplane/request_messages.h"

#include <algorithm>

#include "dataplane/http_headers.h"

namespace ibisvalve::dataplane {

wire::OpenAttempt OpenFor(const RequestState& request,
                          const IngressAttempt& attempt,
                          Revision revision,
                          Time now) {
  const CallerRequest& asked = request.exchange->request();
  wire::OpenAttempt open;
  open.id = attempt.id;
  open.gate = attempt.gate_incarnation;
  open.revision = revision;
  open.service = request.terms.service->name;
  open.method = asked.method;
  open.uri = asked.uri;
  open.headers = EndToEnd(asked.headers);
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
  return open;
}

wire::Headers OutcomeHeaders(world::Outcome outcome,
                             world::Reason reason,
                             uint32_t attempts) {
  return {{kOutcomeHeader, world::ToString(outcome)},
          {kReasonHeader, world::ToString(reason)},
          {kAttemptsHeader, std::to_string(attempts)}};
}

int ReplyWithoutAnswer(CallerExchange& exchange, const NoAnswer& told) {
  const int status = StatusFor(told.outcome, told.reason);
  wire::Headers headers =
      OutcomeHeaders(told.outcome, told.reason, told.attempts);
  headers.emplace_back("Content-Type", "text/plain");
  if (told.first_status != 0) {
    headers.emplace_back(kFirstStatusHeader, std::to_string(told.first_status));
  }
  if (told.close) {
    headers.emplace_back("Connection", "close");
  }
  exchange.Reply(status, headers, told.detail + "\n");
  return status;
}

}  // namespace ibisvalve::dataplane
