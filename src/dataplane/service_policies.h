#pragma once

#include <map>
#include <memory>

#include "dataplane/node_plane.h"
#include "policy/policy.h"
#include "world/world.h"

namespace ibisvalve::dataplane {

/// Decisions of an ingress about one service.
struct ServicePolicy {
  policy::AnyChooser chooser;
  policy::Ejection ejection;
  policy::RetryBudget retries;
  policy::Hedge hedge;
};

/// The policies of all services that this ingress has served.
class ServicePolicies {
 public:
  ServicePolicies(policy::ChoiceKind kind, const RetryShare& retries)
      : kind_(kind), retries_(retries) {}

  /// Returns the policy of `service`, which belongs to `fleet`; brought up to
  /// date when another file has come into force. Valid as long as this object.
  ServicePolicy& For(const std::shared_ptr<const world::Fleet>& fleet,
                     const world::Service& service);

 private:
  struct Entry {
    std::shared_ptr<const world::Fleet> fleet;  // it was configured with
    ServicePolicy policy;
  };

  policy::ChoiceKind kind_;
  RetryShare retries_;
  std::map<ServiceName, Entry> entries_;
};

}  // namespace ibisvalve::dataplane
