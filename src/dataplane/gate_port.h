#pragma once

#include <memory>

#include "dataplane/gate.h"
#include "dataplane/peer_table.h"
#include "dataplane/request_state.h"
#include "net/net.h"

namespace ibisvalve::dataplane {

/// The way from an ingress to any gate: by calls to the one of this node, by
/// mesh links to the others.
class GatePort {
 public:
  /// Replies of both kinds go to `handlers.on_reply`, from the loop. All
  /// references must outlive it.
  GatePort(net::EventLoop& loop,
           const PlaneSettings& settings,
           const FleetView& view,
           Gate& gate,
           const PeerTable::Handlers& handlers);
  ~GatePort();
  GatePort(const GatePort&) = delete;
  GatePort& operator=(const GatePort&) = delete;

  /// Notes which run of the gate `attempt.gate` it is for, and opens a link to
  /// it where there is none.
  void Begin(IngressAttempt& attempt);
  /// Puts an attempt that lost its link on a new one; false where its gate is
  /// no longer known.
  bool BeginAgain(IngressAttempt& attempt);
  /// The attempt is over.
  void End(const IngressAttempt& attempt);

  template <typename Message>
  void Send(const IngressAttempt& attempt, const Message& message) {
    if (attempt.gate == settings_.id) {
      SendLocal(message);
    } else {
      peers_.Send(attempt.gate, attempt.link, message);
    }
  }
  /// Sends `message` to the gates of all other targets of `service`.
  template <typename Message>
  void Broadcast(const ServiceName& service, const Message& message) {
    for (const world::Member* member : view_.Targets(service)) {
      if (member->id != settings_.id) {
        const auto link = peers_.GetOrOpenLink(member->id);
        peers_.Send(member->id, link.value_or(0), message);
      }
    }
  }
  const PeerTable& peers() const { return peers_; }
  /// Asks `peer` for the file that is in force there.
  void FetchFile(const NodeId& peer) {
    if (const auto link = peers_.GetOrOpenLink(peer)) {
      peers_.Send(peer, *link, wire::FetchFile{});
    }
  }

 private:
  void SendLocal(const wire::OpenAttempt& message);
  void SendLocal(const wire::BodyPart& message);
  void SendLocal(const wire::CancelAttempt& message);
  void SendLocal(const wire::Credit& message);
  void SendLocal(const wire::QueryAttempt& message);

  net::EventLoop& loop_;
  const PlaneSettings& settings_;
  const FleetView& view_;
  Gate& gate_;
  PeerTable peers_;
  ReplyPort local_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ibisvalve::dataplane
