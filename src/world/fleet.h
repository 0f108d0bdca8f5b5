#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "world/member.h"

namespace ibisvalve::world {

/// May a request be run again when its outcome is unknown?
enum class Repeat : uint8_t {
  kAllowed,  // idempotent
  kNever,    // at most once
};

/// Must a request that may not be repeated carry an Idempotency-Key?
enum class KeyRule : uint8_t { kOptional, kRequired };

/// Which requests of a service a rule covers, and what may be done with them.
/// The first contract that matches a request holds; a request that none
/// matches may not be repeated, unless its method is GET, HEAD or OPTIONS.
struct Contract {
  std::vector<std::string> methods;  // upper case; empty means any
  std::string path_prefix;           // starts with '/'
  Repeat repeat = Repeat::kNever;
  KeyRule key = KeyRule::kOptional;
  std::optional<Duration> deadline;  // overrides that of the service

  auto operator<=>(const Contract&) const = default;
};

/// A declared share of a service's traffic for one group of its zones.
struct ZoneShare {
  ZoneName zone;
  double weight = 1.0;  // relative to the other zones of the service

  auto operator<=>(const ZoneShare&) const = default;
};

/// How the traffic of a service may be shared among its targets.
struct Routing {
  bool prefer_zone = true;  // stay in the zone of the ingress when possible
  double spill_at = 0.8;    // busy share of the zone's slots that opens others
  bool cross_region = false;      // other regions may be used when none is left
  std::vector<ZoneShare> shares;  // empty: in proportion to slots

  auto operator<=>(const Routing&) const = default;
};

/// Bounds on extra work that the system may cause.
struct RetryPolicy {
  double budget = 0.1;           // retries as a share of recent successes
  uint32_t max_attempts = 3;     // attempts of a request, the first included
  double hedge_budget = 0.05;    // hedges as a share of recent requests
  double hedge_quantile = 0.95;  // of recent service times, before a hedge

  auto operator<=>(const RetryPolicy&) const = default;
};

/// Bounds on the load that measuring a target may cause.
struct MeasuringBudget {
  double probes_per_second = 2.0;   // asked of one gate, from all ingresses
  double reports_per_second = 1.0;  // the target's own report, by its gate

  auto operator<=>(const MeasuringBudget&) const = default;
};

/// Bounds of one request.
struct Limits {
  uint64_t request_body = 1 << 20;   // bytes; more is refused with 413
  uint32_t header_bytes = 16 << 10;  // bytes of a request's header
  uint32_t connections_per_target = 200;
  Duration queue = std::chrono::milliseconds(20);  // longest wait at a gate

  auto operator<=>(const Limits&) const = default;
};

/// Objective for a service: `share` of its requests answered in `within`.
struct Objective {
  double share = 0.99;
  Duration within = std::chrono::milliseconds(100);

  auto operator<=>(const Objective&) const = default;
};

/// One service of the fleet.
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
  std::string health_path;  // where a target says how it is; may be empty

  auto operator<=>(const Service&) const = default;
};

/// One region and its availability zones.
struct Region {
  RegionName name;
  std::vector<ZoneName> zones;

  auto operator<=>(const Region&) const = default;
};

/// Usual one-way delay between two availability zones.
struct Link {
  ZoneName from;
  ZoneName to;
  Duration one_way{0};

  auto operator<=>(const Link&) const = default;
};

/// One of the services that share the requests of a route.
struct RouteTarget {
  ServiceName service;
  double weight = 1.0;  // relative to the route's other targets; may be 0

  auto operator<=>(const RouteTarget&) const = default;
};

/// Requests of one host below one path, where they go and what holds for them.
struct Route {
  std::string name;
  std::string host;                  // lower case, without a port
  std::string path_prefix;           // begins and ends with '/'
  std::vector<RouteTarget> targets;  // at least one
  Repeat repeat = Repeat::kNever;
  Duration timeout = std::chrono::seconds(1);    // longest wait for an answer
  Duration objective = std::chrono::seconds(1);  // answers should come within
  uint32_t priority = 0;                         // 0 is the most urgent
  uint32_t max_attempts = 1;  // targets that may be sent the same request

  auto operator<=>(const Route&) const = default;
};

/// What callers may send, whatever they ask for.
struct CallerRules {
  uint32_t header_bytes = 16 << 10;
  uint64_t body_bytes = 64 << 20;
  Duration header_timeout = std::chrono::seconds(10);  // for a whole header
  Duration idle_timeout = std::chrono::seconds(60);    // between requests

  auto operator<=>(const CallerRules&) const = default;
};

/// What a node cut off from all keepers does once its lease has run out.
enum class IsolatedPolicy : uint8_t {
  kRefuse,      // refuses every request as not run
  kServeReads,  // goes on with requests that may be repeated
  kServe,       // goes on with all, by the newest file it has; a gate then
                // takes requests of an ingress at any revision
};

/// Whom an apply waits for before the file is in force.
enum class ApplyRule : uint8_t {
  kAll,       // every node that holds a lease has accepted the file
  kMajority,  // a majority of the keepers has it on disk; nodes follow
};

/// Rules of the control plane.
struct ControlRules {
  Duration lease = std::chrono::seconds(8);  // of a node's configuration
  IsolatedPolicy isolated = IsolatedPolicy::kRefuse;
  ApplyRule apply = ApplyRule::kAll;

  auto operator<=>(const ControlRules&) const = default;
};

/// A complete configuration file as values.
struct Fleet {
  std::string name;
  std::vector<Region> regions;
  std::vector<Link> links;
  std::vector<Service> services;
  std::vector<Route> routes;  // by host, longest path first; may be empty
  CallerRules callers;
  ControlRules control;

  auto operator<=>(const Fleet&) const = default;
};

/// Returns the service called `name`, or null. Valid as long as `fleet`.
const Service* FindService(const Fleet& fleet, const ServiceName& name);

/// Returns the route with the longest path that begins `path`, among those of
/// `host`, or null. Valid as long as `fleet`.
const Route* FindRoute(const Fleet& fleet,
                       const std::string& host,
                       const std::string& path);

/// Brings the routes of `fleet` into the order that FindRoute relies on.
void SortRoutes(Fleet& fleet);

/// Returns the region that holds `zone`, or null. Valid as long as `fleet`.
const Region* FindRegionOf(const Fleet& fleet, const ZoneName& zone);

/// What holds for one request of a service.
struct Terms {
  Repeat repeat = Repeat::kNever;
  KeyRule key = KeyRule::kOptional;
  Duration deadline{0};

  auto operator<=>(const Terms&) const = default;
};

/// Returns the terms of a request with `method` (upper case) and `path`.
Terms TermsFor(const Service& service,
               const std::string& method,
               const std::string& path);

}  // namespace ibisvalve::world
