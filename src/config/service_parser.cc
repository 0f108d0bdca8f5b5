#include "config/service_parser.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "config/converters.h"

namespace ibisvalve::config {
namespace {

using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration kMinDeadline = milliseconds(1);
constexpr Duration kMaxDeadline = minutes(10);
constexpr Duration kMinKeyRetention = minutes(1);
constexpr Duration kMaxKeyRetention = hours(30 * 24);
constexpr Duration kMaxQueueWait = seconds(10);
constexpr uint64_t kMaxRequestBody = 1 << 30;
constexpr uint64_t kMinHeaderBytes = 1 << 10;
constexpr uint64_t kMaxHeaderBytes = 256 << 10;
constexpr uint32_t kMaxConnectionsPerTarget = 10'000;
constexpr uint32_t kMaxAttempts = 10;
constexpr double kMaxMeasurementsPerSecond = 50;  // per second
constexpr double kShareSumTolerance = 1e-6;
constexpr double kMinColdRate = 0.1;  // requests a second
constexpr double kMaxColdRate = 100'000;
constexpr Duration kMaxColdPeriod = hours(1);

std::string Quoted(const std::string& text) {
  return "\"" + text + "\"";
}

// Returns whether `earlier` matches every request that `later` matches, so that
// `later` is never used.
bool Shadows(const world::Contract& earlier, const world::Contract& later) {
  const auto& methods = earlier.methods;
  const bool methods_covered =
      !methods ||
      (later.methods && !later.methods->empty() &&
       std::all_of(later.methods->begin(), later.methods->end(),
                   [&](const std::string& method) {
                     return std::find(methods->begin(), methods->end(),
                                      method) != methods->end();
                   }));
  return methods_covered && later.path_prefix.starts_with(earlier.path_prefix);
}

// Parses one service, with one method for each section of the YAML map.
class ServiceParser {
 public:
  ServiceParser(const YamlValue& value, const std::vector<ZoneName>& zones)
      : map_(value), zones_(zones) {}

  world::Service Parse();

 private:
  void ReadContract(const YamlValue& value);
  void ReadMethods(YamlMap& map, world::Contract& contract);
  void CheckContract(YamlMap& map, const world::Contract& contract);
  void CheckRepeatTerms(YamlMap& map, const world::Contract& contract);
  void ReadRouting(YamlMap& map);
  void ReadShares(YamlMap& map);
  void ReadRetry(YamlMap& map);
  void CheckRetry(YamlMap& map, bool budget_set, bool attempts_set);
  void ReadMeasuring(YamlMap& map);
  void ReadLimits(YamlMap& map);
  void ReadObjective(YamlMap& map);
  void ReadCold(YamlMap& map);
  bool AllowsRepeats() const;

  YamlMap map_;
  const std::vector<ZoneName>& zones_;
  world::Service service_;
};

world::Service ServiceParser::Parse() {
  if (!map_.valid()) {
    return service_;
  }
  map_.Require("name", "name: bookdesk", Name<ServiceName>(), service_.name);
  map_.Read("deadline", DurationBetween(kMinDeadline, kMaxDeadline),
            service_.deadline);
  map_.Read("key_retention",
            DurationBetween(kMinKeyRetention, kMaxKeyRetention),
            service_.key_retention);
  map_.ReadList("contracts", false, "",
                [this](const YamlValue& item) { ReadContract(item); });
  map_.ReadMap("routing", [this](YamlMap& map) { ReadRouting(map); });
  map_.ReadMap("retry", [this](YamlMap& map) { ReadRetry(map); });
  map_.ReadMap("measuring", [this](YamlMap& map) { ReadMeasuring(map); });
  map_.ReadMap("limits", [this](YamlMap& map) { ReadLimits(map); });
  map_.ReadMap("objective", [this](YamlMap& map) { ReadObjective(map); });
  map_.ReadMap("cold", [this](YamlMap& map) { ReadCold(map); });
  map_.Read("public", Boolean(), service_.is_public);
  map_.ReportUnknownKeys();
  return service_;
}

void ServiceParser::ReadContract(const YamlValue& value) {
  YamlMap map(value);
  if (!map.valid()) {
    return;
  }
  world::Contract contract;
  contract.path_prefix = "/";
  ReadMethods(map, contract);
  map.Read("path", UriPath(), contract.path_prefix);
  const bool repeat_set =
      map.Require("repeat", "repeat: never",
                  OneOf<world::Repeat>({{"allowed", world::Repeat::kAllowed},
                                        {"never", world::Repeat::kNever}}),
                  contract.repeat);
  map.Read("key",
           OneOf<world::KeyRule>({{"optional", world::KeyRule::kOptional},
                                  {"required", world::KeyRule::kRequired}}),
           contract.key);
  Duration deadline{0};
  if (map.Read("deadline", DurationBetween(kMinDeadline, kMaxDeadline),
               deadline)) {
    contract.deadline = deadline;
  }
  if (repeat_set) {
    CheckRepeatTerms(map, contract);
  }
  CheckContract(map, contract);
  map.ReportUnknownKeys();
  service_.contracts.push_back(contract);
}

void ServiceParser::ReadMethods(YamlMap& map, world::Contract& contract) {
  Words<std::string> words;
  for (const char* method :
       {"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"}) {
    words.emplace_back(method, method);
  }
  if (map.Find("methods")) {
    contract.methods.emplace();
  }
  map.ReadList("methods", false, "", [&](const YamlValue& item) {
    const std::optional<std::string> method = OneOf<std::string>(words)(item);
    if (!method) {
      return;
    }
    auto& methods = *contract.methods;
    if (std::find(methods.begin(), methods.end(), *method) != methods.end()) {
      item.Report(Quoted(*method) + " is listed twice", "remove one of them");
      return;
    }
    methods.push_back(*method);
  });
}

void ServiceParser::CheckRepeatTerms(YamlMap& map,
                                     const world::Contract& contract) {
  const bool never = contract.repeat == world::Repeat::kNever;
  if (!never && contract.key == world::KeyRule::kRequired) {
    map.ReportAt("key", "a key is required, but the requests may be repeated",
                 "write \"repeat: never\", or \"key: optional\"");
  }
  // Retries are configured per service. A contract recognizes these keys only
  // to report where they belong.
  for (const char* key : {"retry", "hedge"}) {
    if (!map.Find(key)) {
      continue;
    }
    if (never) {
      map.ReportAt(
          key,
          std::string(key) + " is set, but the requests may not be repeated",
          "remove it, or write \"repeat: allowed\"");
    } else {
      map.ReportAt(key, std::string(key) + " cannot be set for one contract",
                   "remove it and set \"retry\" for the service");
    }
  }
}

void ServiceParser::CheckContract(YamlMap& map,
                                  const world::Contract& contract) {
  if (contract.deadline && *contract.deadline > service_.deadline) {
    map.ReportAt("deadline",
                 FormatDuration(*contract.deadline) +
                     " exceeds the service's deadline of " +
                     FormatDuration(service_.deadline),
                 "write " + FormatDuration(service_.deadline) +
                     " or less, or raise the service's deadline");
  }
  const auto& earlier = service_.contracts;
  const auto shadow = std::find_if(
      earlier.begin(), earlier.end(),
      [&](const world::Contract& other) { return Shadows(other, contract); });
  if (shadow != earlier.end()) {
    map.ReportAt("",
                 "is never used: contracts[" +
                     std::to_string(shadow - earlier.begin()) +
                     "] matches all its requests",
                 "move it before that contract, or remove it");
  }
}

void ServiceParser::ReadRouting(YamlMap& map) {
  world::Routing& routing = service_.routing;
  map.Read("prefer_zone", Boolean(), routing.prefer_zone);
  map.Read("spill_at", ShareBetween(0.1, 1.0), routing.spill_at);
  map.Read("cross_region", Boolean(), routing.cross_region);
  map.ReadMap("shares", [this](YamlMap& shares) { ReadShares(shares); });
}

void ServiceParser::ReadShares(YamlMap& map) {
  double sum = 0;
  bool whole = true;
  map.ReadEach([&](const std::string& zone, const YamlValue& value) {
    world::ZoneShare share{ZoneName(zone), 0};
    const std::optional<double> weight = ShareBetween(0.0, 1.0)(value);
    if (std::find(zones_.begin(), zones_.end(), share.zone) == zones_.end()) {
      ReportUnknownZone(value, share.zone, zones_);
    }
    whole = whole && weight.has_value();
    share.weight = weight.value_or(0);
    sum += share.weight;
    service_.routing.shares.push_back(share);
  });
  if (whole && std::abs(sum - 1.0) > kShareSumTolerance) {
    map.ReportAt("", "the shares add up to " + FormatShare(sum),
                 "write shares that add up to 100%");
  }
}

void ServiceParser::ReadRetry(YamlMap& map) {
  world::RetryPolicy& retry = service_.retry;
  const bool budget_set =
      map.Read("budget", ShareBetween(0.0, 1.0), retry.budget);
  const bool attempts_set = map.Read(
      "max_attempts", IntegerBetween(1, kMaxAttempts), retry.max_attempts);
  const bool hedge_set =
      map.Read("hedge_budget", ShareBetween(0.0, 0.5), retry.hedge_budget);
  map.Read("hedge_quantile", ShareBetween(0.5, 0.999), retry.hedge_quantile);
  if (budget_set || attempts_set) {
    CheckRetry(map, budget_set, attempts_set);
  }
  if (hedge_set && retry.hedge_budget > 0 && retry.max_attempts == 1) {
    map.ReportAt("hedge_budget", "hedging needs a second attempt",
                 "write \"max_attempts: 2\" or more, or \"hedge_budget: 0%\"");
  }
  if (hedge_set && retry.hedge_budget > 0 && !AllowsRepeats()) {
    map.ReportAt("hedge_budget",
                 "hedging is enabled, but no request may be repeated",
                 "write \"hedge_budget: 0%\", or add a contract with "
                 "\"repeat: allowed\"");
  }
}

void ServiceParser::CheckRetry(YamlMap& map,
                               bool budget_set,
                               bool attempts_set) {
  const world::RetryPolicy& retry = service_.retry;
  if (budget_set && attempts_set && retry.budget == 0 &&
      retry.max_attempts > 1) {
    map.ReportAt("max_attempts", "a budget of 0% allows no second attempt",
                 "write \"max_attempts: 1\", or a budget above 0%");
  }
  if (budget_set && attempts_set && retry.budget > 0 &&
      retry.max_attempts == 1) {
    map.ReportAt("budget", "a single attempt allows no retries",
                 "write \"budget: 0%\", or \"max_attempts: 2\" or more");
  }
}

bool ServiceParser::AllowsRepeats() const {
  // Requests with a safe method may be repeated if no contract matches them.
  // Only a contract for all methods and paths is taken to leave no such
  // request.
  for (const world::Contract& contract : service_.contracts) {
    if (contract.repeat == world::Repeat::kAllowed) {
      return true;
    }
    if (!contract.methods && contract.path_prefix == "/") {
      return false;
    }
  }
  return true;
}

void ServiceParser::ReadMeasuring(YamlMap& map) {
  world::MeasuringBudget& measuring = service_.measuring;
  map.Read("probes_per_second", NumberBetween(0, kMaxMeasurementsPerSecond),
           measuring.probes_per_second);
  map.Read("reports_per_second", NumberBetween(0, kMaxMeasurementsPerSecond),
           measuring.reports_per_second);
}

void ServiceParser::ReadLimits(YamlMap& map) {
  world::Limits& limits = service_.limits;
  map.Read("request_body", SizeBetween(0, kMaxRequestBody),
           limits.request_body);
  uint64_t header = limits.header_bytes;
  map.Read("header", SizeBetween(kMinHeaderBytes, kMaxHeaderBytes), header);
  limits.header_bytes = static_cast<uint32_t>(header);
  map.Read("connections_per_target",
           IntegerBetween(1, kMaxConnectionsPerTarget),
           limits.connections_per_target);
  const bool queue_set = map.Read(
      "queue", DurationBetween(microseconds(0), kMaxQueueWait), limits.queue);
  if (queue_set && limits.queue >= service_.deadline) {
    map.ReportAt("queue",
                 "a wait of " + FormatDuration(limits.queue) +
                     " uses up the service's deadline of " +
                     FormatDuration(service_.deadline),
                 "write less than the deadline");
  }
}

void ServiceParser::ReadObjective(YamlMap& map) {
  world::Objective objective;
  map.Require("share", "share: 99%", ShareBetween(0.5, 0.99999),
              objective.share);
  const bool within_set = map.Require(
      "within", "within: 100ms", DurationBetween(milliseconds(1), kMaxDeadline),
      objective.within);
  if (within_set && objective.within > service_.deadline) {
    map.ReportAt("within",
                 FormatDuration(objective.within) +
                     " exceeds the service's deadline of " +
                     FormatDuration(service_.deadline),
                 "write " + FormatDuration(service_.deadline) + " or less");
  }
  service_.objective = objective;
}

void ServiceParser::ReadCold(YamlMap& map) {
  world::ColdStart cold;
  map.Require("per_second", "per_second: 10",
              NumberBetween(kMinColdRate, kMaxColdRate), cold.per_second);
  map.Require("period", "period: 3s",
              DurationBetween(milliseconds(1), kMaxColdPeriod), cold.period);
  service_.cold = cold;
}

}  // namespace

world::Service ParseService(const YamlValue& value,
                            const std::vector<ZoneName>& zones) {
  return ServiceParser(value, zones).Parse();
}

void ReportUnknownZone(const YamlValue& value,
                       const ZoneName& zone,
                       const std::vector<ZoneName>& zones) {
  std::vector<std::string> known;
  std::string list;
  for (const ZoneName& name : zones) {
    known.push_back(name.value);
    list += (list.empty() ? "" : ", ") + name.value;
  }
  const std::optional<std::string> nearest = NearestWord(zone.value, known);
  value.Report(Quoted(zone.value) + " is not a zone of this file",
               nearest ? "write " + *nearest : "known zones: " + list);
}

}  // namespace ibisvalve::config
