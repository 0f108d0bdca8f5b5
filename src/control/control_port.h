#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>

#include "net/net.h"
#include "wire/wire.h"

namespace ibisvalve::control {

/// One accepted connection from another keeper or from a node that follows this
/// keeper.
struct InboundPeer {
  std::unique_ptr<net::FrameLink> link;
  Time last_received{};
  // Set once the peer has identified itself as a node.
  std::optional<wire::FollowKeeper> node;
  wire::NodeHeartbeat heartbeat;  // the node's latest
  Revision sent_staged;           // last revisions sent on this connection
  Revision sent_active;
  uint64_t sent_zones = 0;            // version of the zone orders last sent
  uint64_t sent_crashes_version = 0;  // of the ledger when it was last sent
  // Digests of the crash records sent on this connection, by resource.
  std::map<Digest, Digest> sent_crashes;
};

/// Accepts connections from keepers and nodes at a keeper's control endpoint,
/// and closes those on which no frame has arrived for 10 s.
class ControlPort {
 public:
  using Peer = std::shared_ptr<InboundPeer>;
  struct Handlers {
    /// Called for each received frame. May throw WireError to close the
    /// connection.
    std::function<void(const Peer&, wire::FrameType, std::string_view payload)>
        on_frame;
    /// Called after a connection has been closed and removed.
    std::function<void(const Peer&)> on_closed;
  };

  /// Listens on `local`. Throws SystemError.
  ControlPort(net::EventLoop& loop,
              const world::Endpoint& local,
              Handlers handlers);

  /// Closes the connections of all nodes, so that they follow other keepers.
  void CloseNodes();
  /// Returns all open connections.
  const std::set<Peer>& peers() const { return peers_; }
  world::Endpoint local() const { return listener_.local(); }

 private:
  void Accept(int fd);
  void Remove(const Peer& peer);
  void CloseIdle();

  net::EventLoop& loop_;
  Handlers handlers_;
  std::set<Peer> peers_;
  net::Timer idle_check_timer_;
  net::Listener listener_;
};

/// Sends `message` to a peer if its connection is still open.
template <typename Message>
void SendTo(const std::weak_ptr<InboundPeer>& peer, const Message& message) {
  if (const auto strong = peer.lock(); strong && strong->link) {
    strong->link->Send(message);
  }
}

}  // namespace ibisvalve::control
