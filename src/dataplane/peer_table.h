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

/// The mesh links from this node's ingress to the gates of other nodes: one for
/// each peer, opened on demand and closed after it has been idle for a while.
class PeerTable {
 public:
  struct Handlers {
    std::function<void(const NodeId& gate, GateReply reply)> on_reply;
    std::function<void(const NodeId& gate, const wire::LoadHint& hint)> on_hint;
    /// Called when link number `link` to `gate` has failed.
    std::function<void(const NodeId& gate, uint64_t link, LinkFailure failure)>
        on_failed;
    /// Called when `gate` has a higher revision than this node.
    std::function<void(const NodeId& gate, Revision seen)> on_newer_revision;
    /// Called when a peer has sent its active configuration file.
    std::function<void(const wire::ActiveFile& file)> on_file;
    /// Called when `gate` has replied to CrashSync.
    std::function<void(const NodeId& gate, const wire::CrashSyncReply& reply)>
        on_crash_sync;
  };

  /// All references must outlive the table.
  PeerTable(net::EventLoop& loop,
            const PlaneSettings& settings,
            const FleetView& view,
            Handlers handlers);

  /// Returns the number of the link to `gate`, and opens one if there is none.
  /// Returns std::nullopt if `gate` is not a known member.
  std::optional<uint64_t> GetOrOpenLink(const NodeId& gate);
  /// Sends `message` on link `link` to `gate`. Does nothing if that link has
  /// been closed.
  template <typename Message>
  void Send(const NodeId& gate, uint64_t link, const Message& message) {
    if (MeshLink* open_link = Find(gate, link)) {
      open_link->Send(message);
    }
  }
  /// Record that an attempt on a link started or ended.
  void BeginAttempt(const NodeId& gate, uint64_t link);
  void EndAttempt(const NodeId& gate, uint64_t link);
  /// Returns the latest known incarnation of the node `gate`.
  Incarnation IncarnationOf(const NodeId& gate) const;
  /// Returns the number of open links.
  size_t links() const;
  /// Return the bytes and the heartbeats sent on all links, closed ones
  /// included.
  uint64_t sent_bytes() const;
  uint64_t pings() const;

 private:
  struct Peer {
    explicit Peer(const policy::SilenceSettings& settings)
        : silence(settings) {}

    uint64_t number = 0;
    policy::SilenceBound silence;    // outlives the links
    std::unique_ptr<MeshLink> link;  // null while disconnected
    Incarnation incarnation;         // from its last hello
  };

  Peer& PeerFor(const NodeId& gate);
  MeshLink* Find(const NodeId& gate, uint64_t link);
  void Open(const NodeId& gate, Peer& peer, const world::Endpoint& remote);
  void OnLinkFailed(const NodeId& gate,
                    uint64_t link,
                    LinkFailure failure,
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
