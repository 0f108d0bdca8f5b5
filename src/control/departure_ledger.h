#pragma once

#include <compare>
#include <cstdint>
#include <map>

#include "wire/wire.h"
#include "world/world.h"

namespace ibisvalve::control {

/// Command that records that a run of a node's target has departed.
struct AddDeparture {
  NodeId node;
  world::TargetRun run;
  uint64_t at_us = 0;  // wall clock of the leader

  auto operator<=>(const AddDeparture&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(node, run, at_us);
  }
};

/// Replicated memory of the departures of targets, for nodes that all start at
/// once and so have no peer to learn from. Deterministic: replicas that apply
/// the same commands hold the same departures.
class DepartureLedger {
 public:
  /// Adds a departure. Drops the records of hosts whose last departure is too
  /// long ago for a late announcement of its run, and the oldest of them if
  /// there are too many.
  void Apply(const AddDeparture& add);
  /// Returns the departed runs of the target of `node`.
  world::DepartedRuns Of(const NodeId& node) const;
  /// Returns the number of hosts with departures.
  size_t size() const { return hosts_.size(); }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(hosts_);
  }

 private:
  struct Host {
    world::DepartedRuns runs;
    uint64_t last_us = 0;  // wall clock of the last departure

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(runs, last_us);
    }
  };

  std::map<NodeId, Host> hosts_;
};

}  // namespace ibisvalve::control
