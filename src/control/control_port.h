#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string_view>

#include "net/net.h"
#include "wire/wire.h"

namespace ibisvalve::control {

/// One accepted connection: of another keeper, or of a node that follows.
struct InboundPeer {
  std::unique_ptr<net::FrameLink> link;
  Time heard{};
  std::optional<wire::FollowKeeper> node;  // of a node, once it said so
  wire::NodeHeartbeat heartbeat;           // its last
  Revision sent_staged;                    // last sent on this connection
  Revision sent_active;
};

/// Accepts the connections of keepers and nodes at a keeper's control endpoint.
class ControlPort {
 public:
  using Peer = std::shared_ptr<InboundPeer>;
  struct Handlers {
    /// A frame has come from a peer; may throw WireError to close it.
    std::function<void(const Peer&, wire::FrameType, std::string_view payload)>
        on_frame;
    /// A peer has gone.
    std::function<void(const Peer&)> on_gone;
  };

  /// Listens at `local`. Throws SystemError.
  ControlPort(net::EventLoop& loop,
              const world::Endpoint& local,
              Handlers handlers);

  /// Returns every connection.
  const std::set<Peer>& peers() const { return peers_; }
  world::Endpoint local() const { return listener_.local(); }

 private:
  void Accept(int fd);
  void Remove(const Peer& peer);
  void DropSilent();

  net::EventLoop& loop_;
  Handlers handlers_;
  std::set<Peer> peers_;
  net::Timer sweep_;
  net::Listener listener_;
};

/// Sends `message` to a peer if its connection still stands.
template <typename Message>
void SendTo(const std::weak_ptr<InboundPeer>& peer, const Message& message) {
  if (const auto held = peer.lock(); held && held->link) {
    held->link->Send(message);
  }
}

}  // namespace ibisvalve::control
