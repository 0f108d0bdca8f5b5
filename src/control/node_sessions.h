#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "control/control_port.h"
#include "control/replica_driver.h"
#include "net/net.h"

namespace ibisvalve::control {

/// Sessions of the nodes that follow this keeper. Forwards their heartbeats to
/// the leader in batches, and sends them lease grants, and the files and
/// quarantining crashes of targets that this keeper has applied.
class NodeSessions {
 public:
  using Report = std::function<void(const wire::SessionReports&)>;

  /// `report` sends reports to the leader; it may drop them.
  NodeSessions(net::EventLoop& loop,
               const ReplicaDriver& driver,
               Report report);

  /// Handles a frame of a node. Returns false if its type belongs to another
  /// component. Throws WireError on a protocol violation.
  bool OnFrame(const ControlPort::Peer& peer,
               wire::FrameType type,
               std::string_view payload);
  /// Removes a closed connection.
  void OnClosed(const ControlPort::Peer& peer);
  /// Sends files to the nodes that lack them, after a change of the replicated
  /// state.
  void OnApplied();
  /// Reports all nodes again, such as to a new leader.
  void ReportAll();
  /// Sends the leader's grants to the nodes.
  void SendGrants(const wire::SessionGrants& grants);
  /// Returns the number of nodes that follow this keeper.
  size_t size() const { return node_peers_.size(); }

 private:
  void Follow(const ControlPort::Peer& peer, const wire::FollowKeeper& follow);
  void Heartbeat(const ControlPort::Peer& peer,
                 const wire::NodeHeartbeat& heartbeat);
  void Leave(const ControlPort::Peer& peer, const wire::LeaveKeeper& leave);
  bool IsCaughtUp() const;
  void SendCrashes(InboundPeer& peer);
  void SendZones(InboundPeer& peer);
  void SendFiles(InboundPeer& peer);
  void SendFile(InboundPeer& peer,
                const ConfigRecord& record,
                bool active,
                Revision base);
  const std::string& Encode(const ConfigRecord& record, Revision base);
  void SendBatch();

  const ReplicaDriver& driver_;
  Report report_;
  std::set<ControlPort::Peer> node_peers_;
  std::set<ControlPort::Peer> unreported_;  // to report in the next batch
  std::vector<wire::LeaveKeeper> left_;
  // Encoded texts of the newest revisions, by revision and base.
  std::map<std::pair<Revision, Revision>, std::string> encoded_;
  net::Timer batch_timer_;
};

}  // namespace ibisvalve::control
