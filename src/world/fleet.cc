#include "world/fleet.h"

#include <algorithm>
#include <tuple>

namespace ibisvalve::world {
namespace {

bool Matches(const Contract& contract,
             const std::string& method,
             const std::string& path) {
  const auto& methods = contract.methods;
  const bool method_matches =
      !methods ||
      std::find(methods->begin(), methods->end(), method) != methods->end();
  return method_matches && path.starts_with(contract.path_prefix);
}

struct HostOrder {
  bool operator()(const Route& route, const std::string& host) const {
    return route.host < host;
  }
  bool operator()(const std::string& host, const Route& route) const {
    return host < route.host;
  }
};

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

const Route* FindRoute(const Fleet& fleet,
                       const std::string& host,
                       const std::string& path) {
  if (!fleet.routes) {
    return nullptr;
  }
  const auto host_routes = std::equal_range(
      fleet.routes->begin(), fleet.routes->end(), host, HostOrder());
  const auto found = std::find_if(
      host_routes.first, host_routes.second,
      [&](const Route& route) { return path.starts_with(route.path_prefix); });
  return found == host_routes.second ? nullptr : &*found;
}

void SortRoutes(Fleet& fleet) {
  if (!fleet.routes) {
    return;
  }
  std::sort(fleet.routes->begin(), fleet.routes->end(),
            [](const Route& a, const Route& b) {
              if (a.host != b.host) {
                return a.host < b.host;
              }
              if (a.path_prefix.size() != b.path_prefix.size()) {
                return a.path_prefix.size() > b.path_prefix.size();
              }
              return std::tie(a.path_prefix, a.name) <
                     std::tie(b.path_prefix, b.name);
            });
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
    if (Matches(contract, method, path)) {
      return Terms{contract.repeat, contract.key,
                   contract.deadline.value_or(service.deadline)};
    }
  }
  const Repeat repeat =
      IsSafeMethod(method) ? Repeat::kAllowed : Repeat::kNever;
  return Terms{repeat, KeyRule::kOptional, service.deadline};
}

}  // namespace ibisvalve::world
