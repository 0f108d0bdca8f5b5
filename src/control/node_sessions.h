#pragma once

#include <functional>
#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "control/control_port.h"
#include "control/replica_driver.h"
#include "net/net.h"

namespace ibisvalve::control {

/// The nodes that follow this keeper: passes their heartbeats to the leader in
/// batches, brings them grants, and files as soon as this keeper knows them.
class NodeSessions {
 public:
  using Report = std::function<void(const wire::SessionReports&)>;

  /// `report` takes what is to go to the leader; it may lose it.
  NodeSessions(net::EventLoop& loop,
               const ReplicaDriver& driver,
               Report report);

  /// Takes a frame of a node. Returns whether it was one of these messages.
  bool OnFrame(const ControlPort::Peer& peer,
               wire::FrameType type,
               std::string_view payload);
  /// A connection has gone.
  void OnGone(const ControlPort::Peer& peer);
  /// The replicated state has changed: sends files to whoever lacks them.
  void OnApplied();
  /// Reports every node again, as for a new leader.
  void ReportAll();
  /// Passes the leader's grants on.
  void Deliver(const wire::SessionGrants& grants);
  /// Returns how many nodes follow this keeper.
  size_t size() const { return following_.size(); }

 private:
  void Follow(const ControlPort::Peer& peer, const wire::FollowKeeper& follow);
  void Heartbeat(const ControlPort::Peer& peer,
                 const wire::NodeHeartbeat& heartbeat);
  void Leave(const ControlPort::Peer& peer, const wire::LeaveKeeper& leave);
  void SendFiles(InboundPeer& peer);
  void SendFile(InboundPeer& peer, const ConfigRecord& record, bool active);
  void SendBatch();

  const ReplicaDriver& driver_;
  Report report_;
  std::set<ControlPort::Peer> following_;
  std::set<ControlPort::Peer> changed_;  // since the last batch
  std::vector<wire::LeaveKeeper> left_;
  net::Timer batch_;
};

}  // namespace ibisvalve::control
