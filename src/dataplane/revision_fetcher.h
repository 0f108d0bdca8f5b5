#pragma once

#include "dataplane/fleet_view.h"
#include "dataplane/gate_client.h"
#include "dataplane/node_plane.h"

namespace ibisvalve::dataplane {

/// Requests a newer revision of the configuration that a peer has: from the
/// keepers and from the peer, because the keeper that this node is connected to
/// may be partitioned from the others and not have it.
class RevisionFetcher {
 public:
  /// All references must outlive the object.
  RevisionFetcher(const FleetView& view,
                  const PlaneHandlers& handlers,
                  GateClient& gates)
      : view_(view), handlers_(handlers), gates_(gates) {}

  /// Handles that `peer` has the revision `seen`.
  void OnSeen(const NodeId& peer, Revision seen, Time now);

 private:
  const FleetView& view_;
  const PlaneHandlers& handlers_;
  GateClient& gates_;
  Revision requested_;
  Time requested_at_{};
};

}  // namespace ibisvalve::dataplane
