#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "control/keeper_links.h"
#include "control/leader_relay.h"
#include "control/replica_driver.h"

namespace ibisvalve::control {

/// Has the group remember departures of targets, and confirms them once a
/// majority has stored them.
class DepartureRelay {
 public:
  using Done = std::function<void(const wire::DepartureReply&)>;

  /// All references must outlive the relay.
  DepartureRelay(ReplicaDriver& driver, KeeperLinks& links, LeaderRelay& relay)
      : driver_(driver), links_(links), relay_(relay) {}

  /// Handles the request of a node. `done` receives the reply with the node's
  /// call number. It is not called if no leader confirms the request in time.
  void OnRequest(const wire::DepartureRequest& request, Done done);
  /// Handles a request that another keeper forwarded. `done` is called only if
  /// the departure is stored.
  void OnForwarded(const wire::DepartureRequest& request, Done done);
  /// Handles the leader's reply to a forwarded request.
  void OnReply(const wire::DepartureReply& reply);

 private:
  struct Pending {
    uint64_t call = 0;  // of the node
    Done done;
  };

  bool IsStored(const wire::DepartureRequest& request) const;

  ReplicaDriver& driver_;
  KeeperLinks& links_;
  LeaderRelay& relay_;
  std::map<uint64_t, Pending> pending_;  // by call number of the relay
};

}  // namespace ibisvalve::control
