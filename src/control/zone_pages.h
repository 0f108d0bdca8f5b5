#pragma once

#include <functional>
#include <optional>
#include <set>
#include <vector>

#include "control/file_terms.h"
#include "control/node_coordinator.h"
#include "control/replica_driver.h"
#include "net/net.h"

namespace ibisvalve::control {

/// Operators' requests to evacuate zones, on the keeper that leads.
class ZonePages {
 public:
  /// Receives the answer, or nullopt if the request must be retried, such as
  /// when this keeper does not lead.
  using Done = std::function<void(const std::optional<net::AdminResponse>&)>;

  /// `configured` are the zones of the settings. All references must outlive
  /// the object.
  ZonePages(ReplicaDriver& driver,
            NodeCoordinator& coordinator,
            FileTerms& terms,
            std::vector<ZoneName> configured)
      : driver_(driver),
        coordinator_(coordinator),
        terms_(terms),
        configured_(std::move(configured)) {}

  /// Returns whether `path` is one of these pages.
  static bool Serves(const std::string& path);
  /// Handles a request. An order is answered once it is committed and the nodes
  /// have it. One that has been superseded is refused with 503.
  void Handle(const net::AdminRequest& request, const Done& done);

 private:
  void Order(const OrderZone& order, const Done& done);
  void AwaitNodes(const OrderZone& order, const Done& done);
  net::AdminResponse List();
  std::set<ZoneName> KnownZones();

  ReplicaDriver& driver_;
  NodeCoordinator& coordinator_;
  FileTerms& terms_;
  std::vector<ZoneName> configured_;
};

}  // namespace ibisvalve::control
