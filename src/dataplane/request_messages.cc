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

wire::OpenAttempt MakeOpenAttempt(const RequestState& request,
                                  const IngressAttempt& attempt,
                                  const PlaneSettings& settings,
                                  Revision revision,
                                  Time now) {
  const HeaderNames& names = settings.names;
  const CallerRequest& caller_request = request.exchange->request();
  wire::OpenAttempt open;
  open.id = attempt.id;
  open.gate = attempt.gate_incarnation;
  open.revision = revision;
  open.service = request.terms.service->name;
  open.method = caller_request.method;
  open.uri = caller_request.uri;
  open.headers = EndToEndHeaders(caller_request.headers, names);
  if (request.fleet->workspaces) {
    RemoveCredentials(open.headers, names);
  }
  if (request.terms.workspace != nullptr) {
    open.workspace = request.terms.workspace->name;
  }
  open.remaining_us = static_cast<uint64_t>(
      std::max<int64_t>((request.deadline - now).count(), 0));
  open.depth = request.terms.depth;
  open.retry = request.terms.under_retry || request.attempts_made > 1;
  open.may_repeat = request.repeatable();
  open.key = request.terms.key;
  open.fingerprint = request.terms.fingerprint;
  open.body_bytes = caller_request.body.size();
  open.body = caller_request.body.substr(
      0, caller_request.body.size() > kMaxPartBytes ? kFirstBodyBytes
                                                    : kMaxPartBytes);
  open.body_complete = open.body.size() == caller_request.body.size();
  open.caller = settings.service;
  open.objective_us = static_cast<uint64_t>(
      std::max<int64_t>((request.objective() - now).count(), 0));
  open.expected_us =
      static_cast<uint64_t>(request.ExpectedServiceTime().count());
  open.priority = request.terms.priority;
  open.sent_us = BootMicros();
  return open;
}

wire::Headers OutcomeHeaders(const HeaderNames& names,
                             world::Outcome outcome,
                             world::Reason reason,
                             uint32_t attempts) {
  if (!names.send_ibis_headers) {
    return {};
  }
  return {{kOutcomeHeader, world::ToString(outcome)},
          {kReasonHeader, world::ToString(reason)},
          {kAttemptsHeader, std::to_string(attempts)}};
}

int SendFailureReply(CallerExchange& exchange,
                     const HeaderNames& names,
                     const FailureReply& reply) {
  const int status = HttpStatusFor(reply.outcome, reply.reason);
  wire::Headers headers =
      OutcomeHeaders(names, reply.outcome, reply.reason, reply.attempts);
  const std::string* id =
      names.request_id.empty()
          ? nullptr
          : FindHeader(exchange.request().headers, names.request_id);
  if (id != nullptr) {
    headers.emplace_back(names.request_id, *id);
  }
  if (reply.retry_after) {
    headers.emplace_back(names.retry_after, ToSeconds(*reply.retry_after));
  }
  headers.emplace_back("Content-Type", "text/plain");
  if (reply.first_status != 0) {
    headers.emplace_back(kFirstStatusHeader,
                         std::to_string(reply.first_status));
  }
  exchange.Reply(status, headers, reply.detail + "\n", reply.close);
  return status;
}

}  // namespace ibisvalve::dataplane
