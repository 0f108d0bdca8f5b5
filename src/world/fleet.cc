#include "world/fleet.h"

#include <algorithm>

namespace ibisvalve::world {
namespace {

bool Covers(const Contract& contract,
            const std::string& method,
            const std::string& path) {
  const auto& methods = contract.methods;
  const bool method_fits =
      methods.empty() ||
      std::find(methods.begin(), methods.end(), method) != methods.end();
  return method_fits && path.starts_with(contract.path_prefix);
}

bool IsSafeMethod(const std::string& method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

}  // namespace

const Service* FindService(const Fleet& fleet, const ServiceName& name) {
  const auto found = std::find_if(
      fleet.services.begin(), fleet.services.end(),
      [&](const Service& service) { return service.name == name; });
  return found == fleet.services.end() ? nullptr : &*found;
}

const Region* FindRegionOf(const Fleet& fleet, const ZoneName& zone) {
  for (const Region& region : fleet.regions) {
    if (std::find(region.zones.begin(), region.zones.end(), zone) !=
        region.zones.end()) {
      return &region;
    }
  }
  return nullptr;
}

Terms TermsFor(const Service& service,
               const std::string& method,
               const std::string& path) {
  for (const Contract& contract : service.contracts) {
    if (Covers(contract, method, path)) {
      return Terms{contract.repeat, contract.key,
                   contract.deadline.value_or(service.deadline)};
    }
  }
  const Repeat repeat =
      IsSafeMethod(method) ? Repeat::kAllowed : Repeat::kNever;
  return Terms{repeat, KeyRule::kOptional, service.deadline};
}

}  // namespace ibisvalve::world
