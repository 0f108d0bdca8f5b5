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

/// What happened within one span of time up to now.
struct BurnWindow {
  std::string name;  // such as "5m"
  Duration span{0};
  BurnCounts<uint64_t> counts;

  auto operator<=>(const BurnWindow&) const = default;
};

/// The burn of one service.
struct ServiceBurn {
  ServiceName service;
  std::optional<world::Objective> objective;
  bool objectives_differ = false;   // between merged nodes
  std::vector<BurnWindow> windows;  // the shortest first
  std::vector<WorstEntry> zones;    // of the last hour, the worst first
  std::vector<WorstEntry> targets;  // likewise

  auto operator<=>(const ServiceBurn&) const = default;
};

/// The burn of all services, of one node or merged over many.
struct BurnReport {
  std::vector<ServiceBurn> services;  // by name

  auto operator<=>(const BurnReport&) const = default;
};

/// Adds the counts of `other` to `report`.
void MergeReport(BurnReport& report, const BurnReport& other);

/// Returns the share of the error budget of `window` that is left; negative
/// when more is used up than the objective allows. Nothing without requests.
std::optional<double> BudgetLeft(const BurnWindow& window,
                                 const world::Objective& objective);

/// Returns the lower-case name of `ending`, as in JSON and tables.
std::string ToString(Ending ending);

/// Returns `report` as JSON, for the page /burn.
std::string ToJson(const BurnReport& report);

/// Parses what ToJson made; returns nothing where `text` is something else.
std::optional<BurnReport> ParseReport(const std::string& text);

}  // namespace ibisvalve::observe
