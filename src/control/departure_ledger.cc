#include "control/departure_ledger.h"

#include <algorithm>

namespace ibisvalve::control {
namespace {

// Announcements arrive seconds late, or as long as a partition lasts.
constexpr uint64_t kRetentionUs = 3'600'000'000;
// About 150 bytes each.
constexpr size_t kMaxHosts = 4096;

}  // namespace

void DepartureLedger::Apply(const AddDeparture& add) {
  Host& host = hosts_[add.node];
  host.runs = host.runs.With(add.run);
  host.last_us = std::max(host.last_us, add.at_us);
  std::erase_if(hosts_, [&](const auto& entry) {
    return entry.second.last_us + kRetentionUs <= add.at_us;
  });
  if (hosts_.size() > kMaxHosts) {
    hosts_.erase(std::min_element(hosts_.begin(), hosts_.end(),
                                  [](const auto& a, const auto& b) {
                                    return a.second.last_us < b.second.last_us;
                                  }));
  }
}

world::DepartedRuns DepartureLedger::Of(const NodeId& node) const {
  const auto found = hosts_.find(node);
  return found == hosts_.end() ? world::DepartedRuns() : found->second.runs;
}

}  // namespace ibisvalve::control
