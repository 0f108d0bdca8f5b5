#include "dataplane/body_receiver.h"

#include <utility>

#include "dataplane/gate_reply.h"

namespace ibisvalve::dataplane {
namespace {

constexpr Duration kCheckInterval = std::chrono::milliseconds(100);

policy::BodyCreditSettings CreditSettings(double link_mbps) {
  policy::BodyCreditSettings settings;
  settings.link_mbps = link_mbps;
  return settings;
}

}  // namespace

BodyReceiver::BodyReceiver(net::EventLoop& loop, double link_mbps, Grant grant)
    : loop_(loop),
      credit_(CreditSettings(link_mbps)),
      grant_(std::move(grant)),
      timer_(loop, [this] { IssueCredit(); }) {}

void BodyReceiver::Begin(const wire::OpenAttempt& open, Time objective) {
  const uint64_t under_way = kUnsolicitedBodyBytes - kFirstBodyBytes;
  const uint64_t left = open.body_bytes - open.body.size();
  if (left <= under_way) {
    return;
  }
  credit_.Add(open.id, left - under_way, under_way, objective, loop_.Now());
  IssueCredit();
}

void BodyReceiver::OnReceived(const AttemptId& id, uint64_t bytes) {
  credit_.OnReceived(id, bytes, loop_.Now());
  IssueCredit();
}

void BodyReceiver::End(const AttemptId& id) {
  credit_.Remove(id);
  IssueCredit();
}

void BodyReceiver::IssueCredit() {
  for (const policy::BodyCredit::Grant& grant : credit_.Issue(loop_.Now())) {
    grant_(wire::Credit{grant.id, grant.bytes});
  }
  if (!credit_.has_waiting()) {
    timer_.Stop();
  } else if (!timer_.running()) {
    timer_.StartOnce(kCheckInterval);
  }
}

}  // namespace ibisvalve::dataplane
