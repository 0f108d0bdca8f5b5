#include <nlohmann/json.hpp>

#include <stdexcept>

#include "observe/burn_report.h"

namespace ibisvalve::observe {
namespace {

using nlohmann::json;

// Version of the JSON format. Reports of any other version are rejected.
constexpr uint64_t kVersion = 1;

json ToJsonValue(const BurnCounts<uint64_t>& counts) {
  json value = {{"reasons", json::object()}, {"latency", json::array()}};
  for (size_t i = 0; i < kEndings; ++i) {
    value[ToString(static_cast<Ending>(i))] = counts.endings[i];
  }
  for (size_t i = 0; i < kReasons; ++i) {
    if (counts.reasons[i] > 0) {
      value["reasons"][ToString(static_cast<world::Reason>(i))] =
          counts.reasons[i];
    }
  }
  for (size_t i = 0; i < LatencyBuckets::kCount; ++i) {
    if (counts.latencies.counts()[i] > 0) {
      value["latency"].push_back({i, counts.latencies.counts()[i]});
    }
  }
  return value;
}

json ToJsonValue(const BurnWindow& window) {
  json value = {{"name", window.name},
                {"span_us", static_cast<uint64_t>(window.span.count())},
                {"counts", ToJsonValue(window.counts)}};
  const Duration median = window.counts.latencies.Quantile(0.5);
  const Duration tail = window.counts.latencies.Quantile(0.99);
  value["p50_us"] = static_cast<uint64_t>(median.count());
  value["p99_us"] = static_cast<uint64_t>(tail.count());
  return value;
}

json ToJsonValue(const std::vector<WorstEntry>& entries) {
  json list = json::array();
  for (const WorstEntry& entry : entries) {
    list.push_back({{"name", entry.name},
                    {"requests", entry.requests},
                    {"bad", entry.bad}});
  }
  return list;
}

json ToJsonValue(const ServiceBurn& service) {
  json value = {{"service", service.service.value},
                {"objective", nullptr},
                {"objectives_differ", service.objectives_differ},
                {"windows", json::array()},
                {"zones", ToJsonValue(service.zones)},
                {"targets", ToJsonValue(service.targets)}};
  if (service.objective) {
    value["objective"] = {
        {"share", service.objective->share},
        {"within_us",
         static_cast<uint64_t>(service.objective->within.count())}};
  }
  for (const BurnWindow& window : service.windows) {
    json window_value = ToJsonValue(window);
    if (service.objective) {
      const auto rate = BurnRate(window.counts, *service.objective);
      const auto left = BudgetLeft(window, *service.objective);
      window_value["burn_rate"] = rate ? json(*rate) : json(nullptr);
      window_value["budget_left"] = left ? json(*left) : json(nullptr);
    }
    value["windows"].push_back(window_value);
  }
  return value;
}

uint64_t ReadCount(const json& value) {
  if (!value.is_number_unsigned()) {
    throw std::invalid_argument("expected an unsigned integer");
  }
  return value.get<uint64_t>();
}

BurnCounts<uint64_t> ReadCounts(const json& value) {
  BurnCounts<uint64_t> counts;
  for (size_t i = 0; i < kEndings; ++i) {
    counts.endings[i] = ReadCount(value.at(ToString(static_cast<Ending>(i))));
  }
  for (size_t i = 0; i < kReasons; ++i) {
    const std::string reason = ToString(static_cast<world::Reason>(i));
    if (value.at("reasons").contains(reason)) {
      counts.reasons[i] = ReadCount(value.at("reasons").at(reason));
    }
  }
  for (const json& bucket : value.at("latency")) {
    const uint64_t index = ReadCount(bucket.at(0));
    if (index >= LatencyBuckets::kCount) {
      throw std::out_of_range("latency bucket index out of range");
    }
    counts.latencies.AddBucket(index, ReadCount(bucket.at(1)));
  }
  return counts;
}

std::vector<WorstEntry> ReadWorst(const json& list) {
  std::vector<WorstEntry> entries;
  for (const json& value : list) {
    entries.push_back(WorstEntry{value.at("name").get<std::string>(),
                                 ReadCount(value.at("requests")),
                                 ReadCount(value.at("bad"))});
  }
  return entries;
}

Duration ReadDuration(const json& value) {
  constexpr uint64_t kMaxMicros = uint64_t{1} << 53U;
  return Duration(
      static_cast<Duration::rep>(std::min(ReadCount(value), kMaxMicros)));
}

ServiceBurn ReadService(const json& value) {
  ServiceBurn service;
  service.service = ServiceName(value.at("service").get<std::string>());
  service.objectives_differ = value.at("objectives_differ").get<bool>();
  if (!value.at("objective").is_null()) {
    service.objective =
        world::Objective{value.at("objective").at("share").get<double>(),
                         ReadDuration(value.at("objective").at("within_us"))};
  }
  for (const json& window : value.at("windows")) {
    service.windows.push_back(BurnWindow{window.at("name").get<std::string>(),
                                         ReadDuration(window.at("span_us")),
                                         ReadCounts(window.at("counts"))});
  }
  service.zones = ReadWorst(value.at("zones"));
  service.targets = ReadWorst(value.at("targets"));
  return service;
}

}  // namespace

std::string ToJson(const BurnReport& report) {
  json value = {{"version", kVersion}, {"services", json::array()}};
  for (const ServiceBurn& service : report.services) {
    value["services"].push_back(ToJsonValue(service));
  }
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<BurnReport> ParseReport(const std::string& text) {
  try {
    const json value = json::parse(text);
    if (ReadCount(value.at("version")) != kVersion) {
      return std::nullopt;
    }
    BurnReport report;
    for (const json& service : value.at("services")) {
      report.services.push_back(ReadService(service));
    }
    return report;
  } catch (const json::exception&) {
    return std::nullopt;
  } catch (const std::logic_error&) {
    return std::nullopt;
  }
}

}  // namespace ibisvalve::observe
