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

/// Counts how the requests of one node's callers end, in memory that depends
/// on the number of services alone. Wall-clock times are in microseconds since
/// 1970; one that was set back counts as the latest seen.
class BurnMeter {
 public:
  BurnMeter();
  ~BurnMeter();
  BurnMeter(const BurnMeter&) = delete;
  BurnMeter& operator=(const BurnMeter&) = delete;

  /// Takes the services and their objectives from `fleet`. What was counted
  /// of a service that is gone is dropped; of the others it stays.
  void Configure(const world::Fleet& fleet);
  /// Counts a request that ended at `wall_us`. Requests of services that the
  /// fleet does not have are not counted.
  void Add(const RequestSample& sample, uint64_t wall_us);
  /// Returns the windows of every service up to `wall_us`.
  BurnReport Report(uint64_t wall_us) const;
  /// Returns that report as JSON, for the page /burn.
  std::string Json(uint64_t wall_us) const;
  /// Appends what /metrics shows: counts since the start, by service and
  /// ending.
  void Collect(std::vector<MetricSample>& out) const;
  /// Returns at most how many bytes a service takes; one that was never
  /// called takes next to none.
  static size_t BytesPerService();

 private:
  class ServiceMeter;

  std::map<ServiceName, std::unique_ptr<ServiceMeter>> services_;
};

}  // namespace ibisvalve::observe
