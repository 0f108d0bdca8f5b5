#pragma once

#include <memory>
#include <string>
#include <vector>

#include "control/control.h"
#include "net/net.h"

namespace ibisvalve::bench {

/// What is measured, and where.
struct FleetRunSettings {
  std::vector<world::Endpoint> keepers;
  std::vector<world::Endpoint> admins;  // of the keepers, in the same order
  std::vector<int> keeper_pids;
  size_t nodes = 3;
  size_t applies = 5;
  size_t file_bytes = 8 << 10;
  size_t claimers = 0;  // claims in flight at any time; 0: no claims
};

/// Many nodes' control parts in this process, against keepers in processes of
/// their own.
class FleetRun {
 public:
  FleetRun(net::EventLoop& loop, const FleetRunSettings& settings);

  /// Applies files and prints how long each took to be in force everywhere.
  void MeasureApplies();
  /// Prints bytes, processor time and memory while nothing changes.
  void MeasureIdle();
  /// Sets how many claims are in flight at any time.
  void SetClaimers(size_t claimers) { settings_.claimers = claimers; }
  /// Prints claims a second and their latency.
  void MeasureClaims();

 private:
  uint64_t ActiveRevision();
  bool AllActive(uint64_t revision) const;
  double Bytes() const;
  void ClaimNext(size_t claimer);

  net::EventLoop& loop_;
  FleetRunSettings settings_;
  uint64_t base_memory_ = 0;
  std::vector<std::unique_ptr<control::NodeAgent>> agents_;
  uint64_t next_attempt_ = 1;
  bool claiming_ = false;
  std::vector<Duration> claim_times_;
  size_t refused_claims_ = 0;
};

}  // namespace ibisvalve::bench
