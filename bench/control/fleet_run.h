#pragma once

#include <memory>
#include <string>
#include <vector>

#include "control/control.h"
#include "net/net.h"

namespace ibisvalve::bench {

/// Parameters of a measurement and the addresses of the keepers.
struct FleetRunSettings {
  std::vector<world::Endpoint> keepers;
  std::vector<world::Endpoint> admins;  // in the order of keepers
  std::vector<int> keeper_pids;
  size_t nodes = 3;
  size_t applies = 5;
  size_t file_bytes = 8 << 10;
  size_t claimers = 0;  // number of claims kept in flight; 0: no claims
};

/// Runs the control agents of many nodes in this process, against keepers in
/// separate processes.
class FleetRun {
 public:
  FleetRun(net::EventLoop& loop, const FleetRunSettings& settings);

  /// Applies configuration files. Prints the median and the maximum time until
  /// a file is active on all nodes.
  void MeasureApplies();
  /// Prints network bytes, processor time and memory while no change is
  /// applied.
  void MeasureIdle();
  /// Sets the number of claims kept in flight.
  void SetClaimers(size_t claimers) { settings_.claimers = claimers; }
  /// Prints the claims granted per second and their latency.
  void MeasureClaims();

 private:
  uint64_t ActiveRevision();
  bool AllActive(uint64_t revision) const;
  double ControlBytes() const;
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
