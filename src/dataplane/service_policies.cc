#include "dataplane/service_policies.h"

#include <algorithm>

namespace ibisvalve::dataplane {
namespace {

policy::BudgetSettings RetrySettings(const world::Service& service,
                                     const RetryShare& share) {
  policy::BudgetSettings settings;
  settings.share = std::min(service.retry.budget, share.per_request);
  settings.burst = share.burst;
  settings.min_per_second = share.per_second;
  return settings;
}

}  // namespace

ServicePolicy& ServicePolicies::For(
    const std::shared_ptr<const world::Fleet>& fleet,
    const world::Service& service) {
  auto found = entries_.find(service.name);
  if (found == entries_.end()) {
    ServicePolicy created{
        policy::AnyChooser(kind_, service.routing), policy::Ejection(),
        policy::RetryBudget(RetrySettings(service, retry_share_)),
        policy::Hedge(policy::HedgeSettingsFor(service.retry))};
    found =
        entries_.emplace(service.name, Entry{fleet, std::move(created)}).first;
  } else if (found->second.fleet != fleet) {
    Entry& entry = found->second;
    entry.fleet = fleet;
    entry.policy.chooser = policy::AnyChooser(kind_, service.routing);
    entry.policy.retries.Configure(RetrySettings(service, retry_share_));
    entry.policy.hedge.Configure(policy::HedgeSettingsFor(service.retry));
  }
  return found->second.policy;
}

}  // namespace ibisvalve::dataplane
