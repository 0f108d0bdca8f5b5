#pragma once

#include <cstddef>

#include "dataplane/crash_tracker.h"
#include "dataplane/fleet_view.h"
#include "dataplane/gate_client.h"
#include "dataplane/node_plane.h"
#include "net/net.h"

namespace ibisvalve::dataplane {

/// Compares the quarantined requests of this node with those of one peer after
/// the other, so that a node learns of them that has just started, or that was
/// cut off when the others were told. Runs on the event loop.
class CrashSync {
 public:
  /// Starts the exchange. All references must outlive this object.
  CrashSync(net::EventLoop& loop,
            const PlaneSettings& settings,
            const FleetView& view,
            CrashTracker& crashes,
            GateClient& gates);

  /// Returns whether a peer has replied since the start, or none does.
  bool settled() const;
  /// Handles the records of `peer`, and sends it those that it lacks.
  void OnReply(const NodeId& peer, const wire::CrashSyncReply& reply);

 private:
  void AskNextPeer();

  net::EventLoop& loop_;
  const PlaneSettings& settings_;
  const FleetView& view_;
  CrashTracker& crashes_;
  GateClient& gates_;
  Time started_;
  bool replied_ = false;  // some peer has replied since the start
  size_t next_peer_;
  net::Timer timer_;
};

}  // namespace ibisvalve::dataplane
