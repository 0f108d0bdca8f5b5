#include "dataplane/gate_frames.h"

#include <algorithm>

#include "dataplane/response_sender.h"

namespace ibisvalve::dataplane {
namespace {

using world::Outcome;
using world::Reason;

uint16_t ClampToUint16(uint32_t number) {
  return static_cast<uint16_t>(std::min(number, 0xFFFFU));
}

}  // namespace

wire::LoadHint MakeLoadHint(const policy::Admission& admission,
                            const LoadTracker& load,
                            Duration backlog,
                            Revision revision,
                            Time now) {
  constexpr double kPermille = 1000;
  wire::LoadHint hint;
  hint.in_flight = ClampToUint16(admission.in_flight());
  hint.queued = ClampToUint16(admission.queued() + admission.RateBacklog(now));
  hint.limit = ClampToUint16(admission.capacity());
  hint.mean_service_time_us = static_cast<uint32_t>(
      std::min<int64_t>(admission.service_time().count(), UINT32_MAX));
  hint.error_permille =
      static_cast<uint32_t>(admission.failure_share() * kPermille);
  load.FillHint(hint, backlog);
  hint.revision = revision;
  return hint;
}

uint64_t BodyBytesIn(const GateReply& reply) {
  if (const auto* head = std::get_if<wire::AnswerHead>(&reply)) {
    return head->body.size();
  }
  const auto* part = std::get_if<wire::AnswerPart>(&reply);
  return part == nullptr ? 0 : part->bytes.size();
}

void SendAttemptResult(const claims::FinishedAttempt& finished,
                       const AttemptId& reply_as,
                       const ReplyPort& port,
                       Revision revision,
                       const wire::LoadHint& hint,
                       const world::CrashRecord& crashes) {
  const bool answered = finished.outcome == Outcome::kAnswered;
  if (answered && finished.response != nullptr) {
    ResponseSender sender(reply_as, port.send);
    const claims::StoredResponse& response = *finished.response;
    sender.OnHead(response.status, response.headers, response.body.size());
    sender.OnData(response.body);
    sender.OnEnd(hint);
    return;
  }
  // The response is no longer stored and cannot be sent again. The attempt ran,
  // so its outcome is reported as unknown, with the status of its run.
  port.send(wire::AttemptFailed{
      reply_as, answered ? Outcome::kUnknown : finished.outcome,
      answered ? Reason::kLinkLost : finished.reason, revision, hint,
      std::nullopt, finished.status, crashes.crashes});
}

}  // namespace ibisvalve::dataplane
