#include "dataplane/gate_port.h"

namespace ibisvalve::dataplane {

GatePort::GatePort(net::EventLoop& loop,
                   const PlaneSettings& settings,
                   const FleetView& view,
                   Gate& gate,
                   const PeerTable::Handlers& handlers)
    : loop_(loop),
      settings_(settings),
      view_(view),
      gate_(gate),
      peers_(loop, settings, view, handlers) {
  // Posted, so that the gate never calls back from inside a call of its own.
  local_ = {0, [this, alive = alive_,
                on_reply = handlers.on_reply](const GateReply& reply) {
              loop_.Post([this, alive, on_reply, reply] {
                if (*alive) {
                  on_reply(settings_.id, reply);
                }
              });
            }};
}

GatePort::~GatePort() {
  *alive_ = false;
}

void GatePort::Begin(IngressAttempt& attempt) {
  if (attempt.gate == settings_.id) {
    attempt.gate_incarnation = settings_.incarnation;
    return;
  }
  attempt.gate_incarnation = peers_.IncarnationOf(attempt.gate);
  BeginAgain(attempt);
}

bool GatePort::BeginAgain(IngressAttempt& attempt) {
  const std::optional<uint64_t> link = peers_.GetOrOpenLink(attempt.gate);
  attempt.link = link.value_or(0);
  if (link) {
    peers_.BeginAttempt(attempt.gate, *link);
  }
  return link.has_value();
}

void GatePort::End(const IngressAttempt& attempt) {
  if (attempt.link != 0) {
    peers_.EndAttempt(attempt.gate, attempt.link);
  }
}

void GatePort::SendLocal(const wire::OpenAttempt& message) {
  gate_.Open(message, local_);
}

void GatePort::SendLocal(const wire::BodyPart& message) {
  gate_.AddBody(message);
}

void GatePort::SendLocal(const wire::CancelAttempt& message) {
  gate_.Cancel(message.id);
}

void GatePort::SendLocal(const wire::Credit& message) {
  gate_.AddCredit(message);
}

void GatePort::SendLocal(const wire::QueryAttempt& message) {
  gate_.Query(message, local_);
}

}  // namespace ibisvalve::dataplane
