#pragma once

#include <map>
#include <memory>

#include "dataplane/node_plane.h"
#include "policy/policy.h"
#include "world/world.h"

namespace ibisvalve::dataplane {

/// Routing, ejection, retry and hedging state of an ingress for one service.
struct ServicePolicy {
  policy::AnyChooser chooser;
  policy::Ejection ejection;
  policy::RetryBudget retries;
  policy::Hedge hedge;
};

/// The policies of all services that this ingress has sent requests to.
class ServicePolicies {
 public:
  ServicePolicies(policy::ChoiceKind kind, const RetryShare& retries)
      : kind_(kind), retry_share_(retries) {}

  /// Returns the policy of `service`, which must belong to `fleet`.
  /// Reconfigures it first if `fleet` differs from that of the last call. The
  /// reference is valid for the lifetime of this object.
  ServicePolicy& For(const std::shared_ptr<const world::Fleet>& fleet,
                     const world::Service& service);

 private:
  struct Entry {
    std::shared_ptr<const world::Fleet> fleet;  // source of `policy`
    ServicePolicy policy;
  };

  policy::ChoiceKind kind_;
  RetryShare retry_share_;
  std::map<ServiceName, Entry> entries_;
};

}  // namespace ibisvalve::dataplane
