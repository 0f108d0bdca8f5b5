#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "dataplane/fleet_view.h"
#include "dataplane/gate_reply.h"
#include "dataplane/mesh_link.h"
#include "dataplane/node_plane.h"
#include "net/net.h"
#include "wire/wire.h"

namespace ibisvalve::dataplane {

/// The links of this node's ingress to gates: one a peer, opened on demand and
/// closed when nothing has used it for a while.
class PeerTable {
 public:
  struct Handlers {
    std::function<void(const NodeId& gate, GateReply reply)> on_reply;
    std::function<void(const NodeId& gate, const wire::LoadHint& hint)> on_hint;
    /// Link number `link` to `gate` is of no more use.
    std::function<void(const NodeId& gate, uint64_t link, LinkLoss loss)>
        on_down;
    /// `gate` is at a higher revision than this node.
    std::function<void(const NodeId& gate, Revision seen)> on_newer_revision;
    /// The file that is in force at a peer has come.
    std::function<void(const wire::PresentFile& file)> on_file;
  };

  /// All references must outlive the table.
  PeerTable(net::EventLoop& loop,
            const PlaneSettings& settings,
            const FleetView& view,
            Handlers handlers);

  /// Returns the number of the link to `gate`, opening one where there is none;
  /// nothing where no such member is known.
  std::optional<uint64_t> LinkTo(const NodeId& gate);
  /// Sends `message` on link `link` to `gate` if that one still stands.
  template <typename Message>
  void Send(const NodeId& gate, uint64_t link, const Message& message) {
    if (MeshLink* standing = Find(gate, link)) {
      standing->Send(message);
    }
  }
  /// An attempt is in flight on a link from now on, or no longer.
  void BeginAttempt(const NodeId& gate, uint64_t link);
  void EndAttempt(const NodeId& gate, uint64_t link);
  /// Returns the present run of the node `gate`, as far as is known.
  Incarnation IncarnationOf(const NodeId& gate) const;
  /// Returns how many links stand, the bytes sent and the heartbeats sent.
  size_t links() const;
  uint64_t sent_bytes() const;
  uint64_t pings() const;

 private:
  struct Peer {
    uint64_t number = 0;
    std::unique_ptr<MeshLink> link;  // null while there is none
    Incarnation incarnation;         // from its last hello
  };

  MeshLink* Find(const NodeId& gate, uint64_t link);
  void Open(const NodeId& gate, Peer& peer, const world::Endpoint& remote);
  void OnDown(const NodeId& gate,
              uint64_t link,
              LinkLoss loss,
              const std::string& why);
  void CloseIdle();

  net::EventLoop& loop_;
  const PlaneSettings& settings_;
  const FleetView& view_;
  Handlers handlers_;
  std::map<NodeId, Peer> peers_;
  uint64_t next_number_ = 0;
  uint64_t closed_sent_bytes_ = 0;
  uint64_t closed_pings_ = 0;
  net::Timer idle_timer_;
};

}  // namespace ibisvalve::dataplane
