#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "observe/burn_counts.h"
#include "observe/worst_list.h"
#include "world/world.h"

namespace ibisvalve::observe {

/// Request counts of a time window that ends now.
struct BurnWindow {
  std::string name;  // such as "5m"
  Duration span{0};
  BurnCounts<uint64_t> counts;

  auto operator<=>(const BurnWindow&) const = default;
};

/// Error budget consumption of one service.
struct ServiceBurn {
  ServiceName service;
  std::optional<world::Objective> objective;
  bool objectives_differ = false;   // between the merged reports
  std::vector<BurnWindow> windows;  // shortest first
  std::vector<WorstEntry> zones;    // of the last hour, worst first
  std::vector<WorstEntry> targets;  // of the last hour, worst first

  auto operator<=>(const ServiceBurn&) const = default;
};

/// Error budget consumption of all services, of one node or merged over
/// several nodes.
struct BurnReport {
  std::vector<ServiceBurn> services;  // sorted by name

  auto operator<=>(const BurnReport&) const = default;
};

/// Adds the services and counts of `other` to `report`.
void MergeReport(BurnReport& report, const BurnReport& other);

/// Returns the share of the error budget that is left in `window`: 1 is the
/// whole budget, and a negative value means that it is overspent. Returns
/// nullopt if BurnRate() does.
std::optional<double> BudgetLeft(const BurnWindow& window,
                                 const world::Objective& objective);

/// Returns the lower-case name of `ending` as written in JSON and metrics.
std::string ToString(Ending ending);

/// Returns `report` as JSON, for the page /burn.
std::string ToJson(const BurnReport& report);

/// Parses the output of ToJson. Returns nullopt if `text` is not a valid report
/// of the supported version.
std::optional<BurnReport> ParseReport(const std::string& text);

}  // namespace ibisvalve::observe
