#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "world/member.h"

namespace ibisvalve::world {

/// Whether a request may be run again when its outcome is unknown.
enum class Repeat : uint8_t {
  kAllowed,  // idempotent request
  kNever,    // at most once
};

/// Whether a request that may not be repeated must have an Idempotency-Key.
enum class KeyRule : uint8_t { kOptional, kRequired };

/// Rule for a subset of a service's requests. The first contract that matches a
/// request applies. A request that matches no contract may be repeated only if
/// its method is GET, HEAD or OPTIONS.
struct Contract {
  // Upper case; nullopt: any method.
  std::optional<std::vector<std::string>> methods;
  std::string path_prefix;  // starts with '/'
  Repeat repeat = Repeat::kNever;
  KeyRule key = KeyRule::kOptional;
  std::optional<Duration> deadline;  // overrides the service's deadline

  auto operator<=>(const Contract&) const = default;
};

/// Configured share of a service's traffic for one availability zone.
struct ZoneShare {
  ZoneName zone;
  double weight = 1.0;  // relative to the other zones of the service

  auto operator<=>(const ZoneShare&) const = default;
};

/// Routing policy: how a service's traffic is distributed over its targets.
struct Routing {
  bool prefer_zone = true;  // prefer targets in the zone of the ingress
  // Utilization of a zone's slots above which other zones are used.
  double spill_at = 0.8;
  bool cross_region = false;      // use other regions if no target is left
  std::vector<ZoneShare> shares;  // empty: proportional to slots

  auto operator<=>(const Routing&) const = default;
};

/// Limits on the extra load caused by retries and hedges.
struct RetryPolicy {
  double budget = 0.1;         // retries as a share of recent successes
  uint32_t max_attempts = 3;   // attempts per request, including the first
  double hedge_budget = 0.05;  // hedges as a share of recent requests
  // Quantile of recent service times after which a hedge is sent.
  double hedge_quantile = 0.95;

  auto operator<=>(const RetryPolicy&) const = default;
};

/// Limits on the load caused by measuring a target.
struct MeasuringBudget {
  // Load probes to one gate, from all ingresses.
  double probes_per_second = 2.0;
  // Requests of a gate for its target's own report.
  double reports_per_second = 1.0;

  auto operator<=>(const MeasuringBudget&) const = default;
};

/// Limits on the requests of a service.
struct Limits {
  uint64_t request_body = 1 << 20;  // bytes; larger bodies are refused with 413
  uint32_t header_bytes = 16 << 10;  // size limit of a request header
  uint32_t connections_per_target = 200;
  Duration queue = std::chrono::milliseconds(20);  // maximum wait at a gate

  auto operator<=>(const Limits&) const = default;
};

/// Latency objective: a `share` of a service's requests is answered `within`
/// this time.
struct Objective {
  double share = 0.99;
  Duration within = std::chrono::milliseconds(100);

  auto operator<=>(const Objective&) const = default;
};

/// Limit on a target that has just started or has lost its caches.
struct ColdStart {
  double per_second = 0;  // requests that a cold target takes
  Duration period{0};     // for which a target is cold after its start

  auto operator<=>(const ColdStart&) const = default;
};

/// Configuration of a service.
struct Service {
  ServiceName name;
  Duration deadline = std::chrono::seconds(1);
  Duration key_retention = std::chrono::hours(24);
  std::vector<Contract> contracts;
  Routing routing;
  RetryPolicy retry;
  MeasuringBudget measuring;
  Limits limits;
  std::optional<Objective> objective;
  std::string health_path;        // of a target's health report; may be empty
  std::optional<ColdStart> cold;  // nullopt: cold targets are not limited
  // Whether requests need no key of a workspace. Used without routes.
  bool is_public = false;

  auto operator<=>(const Service&) const = default;
};

/// A region and its availability zones.
struct Region {
  RegionName name;
  std::vector<ZoneName> zones;

  auto operator<=>(const Region&) const = default;
};

/// Typical one-way network delay between two availability zones.
struct Link {
  ZoneName from;
  ZoneName to;
  Duration one_way{0};

  auto operator<=>(const Link&) const = default;
};

/// Weighted destination service of a route.
struct RouteTarget {
  ServiceName service;
  double weight = 1.0;  // relative to the route's other targets; may be 0

  auto operator<=>(const RouteTarget&) const = default;
};

/// Route for the requests with a given host and path prefix.
struct Route {
  std::string name;
  std::string host;                  // lower case, without a port
  std::string path_prefix;           // begins and ends with '/'
  std::vector<RouteTarget> targets;  // at least one
  Repeat repeat = Repeat::kNever;
  Duration timeout = std::chrono::seconds(1);    // maximum wait for an answer
  Duration objective = std::chrono::seconds(1);  // for the latency of answers
  uint32_t priority = 0;                         // 0 is the highest priority
  uint32_t max_attempts = 1;  // targets that may be sent the same request
  bool is_public = false;     // requests need no key of a workspace
  // Regions whose targets may be used; nullopt: all.
  std::optional<std::vector<RegionName>> regions;

  auto operator<=>(const Route&) const = default;
};

/// Limit on the requests of a workspace, over all nodes together.
struct Quota {
  double per_second = 0;
  double burst = 0;  // requests that may be sent at once

  auto operator<=>(const Quota&) const = default;
};

/// A party whose callers identify themselves by one of its keys.
struct Workspace {
  std::string name;
  std::vector<std::string> keys;     // secret
  std::optional<uint32_t> priority;  // takes precedence over the route's
  std::optional<Quota> quota;        // nullopt: no limit
  // Regions whose targets may be used; nullopt: all.
  std::optional<std::vector<RegionName>> regions;

  auto operator<=>(const Workspace&) const = default;
};

/// Limits on callers' connections and requests, independent of the route.
struct CallerRules {
  uint32_t header_bytes = 16 << 10;
  uint64_t body_bytes = 64 << 20;
  Duration header_timeout = std::chrono::seconds(10);  // for a full header
  Duration idle_timeout = std::chrono::seconds(60);    // between requests

  auto operator<=>(const CallerRules&) const = default;
};

/// Behavior of a node that is isolated from all keepers and whose lease has
/// expired.
enum class IsolatedPolicy : uint8_t {
  kRefuse,      // refuses every request as not run
  kServeReads,  // serves only requests that may be repeated
  // Serves all requests, using the newest configuration file it has; a gate
  // then accepts requests from an ingress at any revision.
  kServe,
};

/// Condition under which an applied configuration file takes effect.
enum class ApplyRule : uint8_t {
  kAll,       // every node that holds a lease has accepted the file
  kMajority,  // a majority of the keepers has it on disk; nodes update later
};

/// Settings of the control plane.
struct ControlRules {
  // Duration of a node's lease on its configuration.
  Duration lease = std::chrono::seconds(8);
  IsolatedPolicy isolated = IsolatedPolicy::kRefuse;
  ApplyRule apply = ApplyRule::kAll;

  auto operator<=>(const ControlRules&) const = default;
};

/// In-memory form of a complete configuration file. A list that is absent is
/// not the same as one whose last entry was removed: the latter matches nothing
/// and allows nothing.
struct Fleet {
  std::string name;
  std::vector<Region> regions;
  std::vector<Link> links;
  std::vector<Service> services;
  // Sorted by SortRoutes; nullopt: requests name their service themselves.
  std::optional<std::vector<Route>> routes;
  // Nullopt: requests need no key.
  std::optional<std::vector<Workspace>> workspaces;
  CallerRules callers;
  ControlRules control;

  auto operator<=>(const Fleet&) const = default;
};

/// Returns the service named `name`, or null. The pointer is valid as long as
/// `fleet` is unchanged.
const Service* FindService(const Fleet& fleet, const ServiceName& name);

/// Returns the route of `host` with the longest prefix of `path`, or null.
/// Requires routes sorted by SortRoutes. The pointer is valid as long as
/// `fleet` is unchanged.
const Route* FindRoute(const Fleet& fleet,
                       const std::string& host,
                       const std::string& path);

/// Sorts the routes of `fleet` as FindRoute requires: by host, then by path
/// prefix, longest first.
void SortRoutes(Fleet& fleet);

/// Returns the region that contains `zone`, or null. The pointer is valid as
/// long as `fleet` is unchanged.
const Region* FindRegionOf(const Fleet& fleet, const ZoneName& zone);

/// Terms that apply to one request of a service.
struct Terms {
  Repeat repeat = Repeat::kNever;
  KeyRule key = KeyRule::kOptional;
  Duration deadline{0};

  auto operator<=>(const Terms&) const = default;
};

/// Returns the terms for a request with `method` (upper case) and `path`, taken
/// from the first matching contract or else from the service's defaults.
Terms TermsFor(const Service& service,
               const std::string& method,
               const std::string& path);

}  // namespace ibisvalve::world
