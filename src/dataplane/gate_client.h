#pragma once

#include <memory>

#include "dataplane/gate.h"
#include "dataplane/peer_table.h"
#include "dataplane/request_state.h"
#include "net/net.h"

namespace ibisvalve::dataplane {

/// Sends messages from an ingress to gates: by method calls to the gate of this
/// node, over mesh links to the others.
class GateClient {
 public:
  /// Passes the replies of local and remote gates to `handlers.on_reply`, on
  /// the event loop. All references must outlive this object.
  GateClient(net::EventLoop& loop,
             const PlaneSettings& settings,
             const FleetView& view,
             Gate& gate,
             const PeerTable::Handlers& handlers);
  ~GateClient();
  GateClient(const GateClient&) = delete;
  GateClient& operator=(const GateClient&) = delete;

  /// Sets the incarnation and the link of the gate `attempt.gate` in `attempt`.
  /// Opens a link to the gate if there is none.
  void AssignLink(IngressAttempt& attempt);
  /// Assigns a new link to an attempt whose link was lost; returns false if its
  /// gate is no longer known.
  bool AssignNewLink(IngressAttempt& attempt);
  /// Releases the link of an attempt that has finished.
  void ReleaseLink(const IngressAttempt& attempt);

  /// Sends `message` to the gate of `attempt`, on the attempt's link.
  template <typename Message>
  void Send(const IngressAttempt& attempt, const Message& message) {
    if (attempt.gate == settings_.id) {
      SendLocal(message);
    } else {
      peers_.Send(attempt.gate, attempt.link, message);
    }
  }
  /// Sends `message` to the gates of all other targets of `service`, whatever
  /// the state of the target. Returns how many gates that is.
  template <typename Message>
  size_t Broadcast(const ServiceName& service, const Message& message) {
    size_t gates = 0;
    for (const world::Member* member : view_.Gates(service)) {
      if (member->id != settings_.id) {
        SendToPeer(member->id, message);
        ++gates;
      }
    }
    return gates;
  }
  /// Sends `message` to all other nodes that run.
  template <typename Message>
  void BroadcastToAll(const Message& message) {
    for (const auto& [id, member] : view_.members()) {
      if (id != settings_.id && world::IsRunning(member) &&
          !member.mesh.ip.empty()) {
        SendToPeer(id, message);
      }
    }
  }
  /// Sends `message` to the gate of `peer`, if it is a known member.
  template <typename Message>
  void SendToPeer(const NodeId& peer, const Message& message) {
    if (const auto link = peers_.GetOrOpenLink(peer)) {
      peers_.Send(peer, *link, message);
    }
  }
  const PeerTable& peers() const { return peers_; }
  /// Requests the active configuration file of `peer`.
  void FetchFile(const NodeId& peer) { SendToPeer(peer, wire::FetchFile{}); }

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
