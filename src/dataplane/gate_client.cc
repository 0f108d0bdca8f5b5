#include "dataplane/gate_client.h"

namespace ibisvalve::dataplane {

GateClient::GateClient(net::EventLoop& loop,
                       const PlaneSettings& settings,
                       const FleetView& view,
                       Gate& gate,
                       const PeerTable::Handlers& handlers)
    : loop_(loop),
      settings_(settings),
      view_(view),
      gate_(gate),
      peers_(loop, settings, view, handlers) {
  // Replies are posted to the loop, so that the gate never calls back into the
  // ingress from within a call that the ingress made.
  local_ = {0, [this, alive = alive_,
                on_reply = handlers.on_reply](const GateReply& reply) {
              loop_.Post([this, alive, on_reply, reply] {
                if (*alive) {
                  on_reply(settings_.id, reply);
                }
              });
            }};
}

GateClient::~GateClient() {
  *alive_ = false;
}

void GateClient::AssignLink(IngressAttempt& attempt) {
  if (attempt.gate == settings_.id) {
    attempt.gate_incarnation = settings_.incarnation;
    return;
  }
  attempt.gate_incarnation = peers_.IncarnationOf(attempt.gate);
  AssignNewLink(attempt);
}

bool GateClient::AssignNewLink(IngressAttempt& attempt) {
  const std::optional<uint64_t> link = peers_.GetOrOpenLink(attempt.gate);
  attempt.link = link.value_or(0);
  if (link) {
    peers_.BeginAttempt(attempt.gate, *link);
  }
  return link.has_value();
}

void GateClient::ReleaseLink(const IngressAttempt& attempt) {
  if (attempt.link != 0) {
    peers_.EndAttempt(attempt.gate, attempt.link);
  }
}

void GateClient::SendLocal(const wire::OpenAttempt& message) {
  gate_.Open(message, local_);
}

void GateClient::SendLocal(const wire::BodyPart& message) {
  gate_.AddBody(message);
}

void GateClient::SendLocal(const wire::CancelAttempt& message) {
  gate_.Cancel(message.id);
}

void GateClient::SendLocal(const wire::Credit& message) {
  gate_.AddCredit(message);
}

void GateClient::SendLocal(const wire::QueryAttempt& message) {
  gate_.Query(message, local_);
}

}  // namespace ibisvalve::dataplane
