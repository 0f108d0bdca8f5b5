#include "observe/burn_report.h"

#include <algorithm>
#include <iterator>

namespace ibisvalve::observe {
namespace {

// Maximum number of zones and of targets per service in a merged report, so
// that the tables of a large fleet stay short.
constexpr size_t kMaxMergedNames = 64;

std::vector<WorstEntry> MergeWorst(const std::vector<WorstEntry>& one,
                                   const std::vector<WorstEntry>& other) {
  WorstList list(kMaxMergedNames);
  for (const auto* entries : {&one, &other}) {
    for (const WorstEntry& entry : *entries) {
      list.Add(entry);
    }
  }
  return list.Sorted();
}

void MergeWindows(std::vector<BurnWindow>& windows,
                  const std::vector<BurnWindow>& others) {
  for (const BurnWindow& other : others) {
    const auto found = std::find_if(
        windows.begin(), windows.end(),
        [&](const BurnWindow& window) { return window.name == other.name; });
    if (found == windows.end()) {
      windows.push_back(other);
    } else {
      found->counts.Merge(other.counts);
    }
  }
  std::stable_sort(windows.begin(), windows.end(),
                   [](const BurnWindow& one, const BurnWindow& other) {
                     return one.span < other.span;
                   });
}

void MergeService(ServiceBurn& service, const ServiceBurn& other) {
  service.objectives_differ = service.objectives_differ ||
                              other.objectives_differ ||
                              service.objective != other.objective;
  if (!service.objective) {
    service.objective = other.objective;
  }
  MergeWindows(service.windows, other.windows);
  service.zones = MergeWorst(service.zones, other.zones);
  service.targets = MergeWorst(service.targets, other.targets);
}

}  // namespace

void MergeReport(BurnReport& report, const BurnReport& other) {
  auto& services = report.services;
  for (const ServiceBurn& other_service : other.services) {
    const auto position =
        std::lower_bound(services.begin(), services.end(), other_service,
                         [](const ServiceBurn& one, const ServiceBurn& two) {
                           return one.service < two.service;
                         });
    if (position != services.end() &&
        position->service == other_service.service) {
      MergeService(*position, other_service);
    } else {
      services.insert(position, other_service);
    }
  }
}

std::optional<double> BudgetLeft(const BurnWindow& window,
                                 const world::Objective& objective) {
  const std::optional<double> rate = BurnRate(window.counts, objective);
  return rate ? std::optional(1.0 - *rate) : std::nullopt;
}

std::string ToString(Ending ending) {
  switch (ending) {
    case Ending::kInTime:
      return "in_time";
    case Ending::kLate:
      return "late";
    case Ending::kFailed:
      return "failed";
    case Ending::kRefused:
      return "refused";
    case Ending::kUnknown:
      return "unknown";
    case Ending::kLost:
      return "lost";
    case Ending::kRejected:
      return "rejected";
  }
  return "invalid";
}

}  // namespace ibisvalve::observe
