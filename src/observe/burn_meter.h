#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "observe/burn_report.h"
#include "observe/request_sample.h"
#include "world/world.h"

namespace ibisvalve::observe {

/// Counts the endings of requests that callers sent to one node. Memory use
/// depends only on the number of services. Wall-clock times are microseconds
/// since 1970. If the clock is set back, the latest time seen is used instead.
class BurnMeter {
 public:
  BurnMeter();
  ~BurnMeter();
  BurnMeter(const BurnMeter&) = delete;
  BurnMeter& operator=(const BurnMeter&) = delete;

  /// Takes the services and their objectives from `fleet`. Discards the counts
  /// of removed services and keeps those of the others.
  void Configure(const world::Fleet& fleet);
  /// Counts a request that ended at `wall_us`. Ignores requests to services
  /// that are not part of the fleet.
  void Add(const RequestSample& sample, uint64_t wall_us);
  /// Returns the windows of every service, ending at `wall_us`.
  BurnReport Report(uint64_t wall_us) const;
  /// Returns the same report as JSON, for the page /burn.
  std::string Json(uint64_t wall_us) const;
  /// Appends the samples for /metrics: request counts since the start, by
  /// service and ending.
  void Collect(std::vector<MetricSample>& out) const;
  /// Returns the maximum memory of one service in bytes. A service without
  /// requests has no history and uses only a small part of it.
  static size_t BytesPerService();

 private:
  class ServiceMeter;

  std::map<ServiceName, std::unique_ptr<ServiceMeter>> services_;
};

}  // namespace ibisvalve::observe
