#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "bench/common/latency_histogram.h"

namespace ibisvalve::bench {

/// The results of one run of the load generator.
struct LoadReport {
  double seconds = 0;  // length of the schedule
  Duration deadline{0};
  uint64_t scheduled = 0;   // requests in the schedule
  uint64_t answered = 0;    // complete, correct response of status 200
  uint64_t in_time = 0;     // answered within the deadline
  uint64_t refused = 0;     // outcome not-run
  uint64_t unknown = 0;     // outcome unknown
  uint64_t failed = 0;      // other statuses
  uint64_t broken = 0;      // no complete response: closed, cut or timed out
  uint64_t swapped = 0;     // response named another request
  uint64_t unfinished = 0;  // still in flight at the end
  uint64_t attempts = 0;    // as reported by the responses, at least 1 each
  uint64_t connections = 0;
  std::map<std::string, uint64_t> reasons;  // of refused and unknown outcomes
  std::map<int, uint64_t> statuses;
  LatencyHistogram latency;  // of answered requests, from the scheduled time
};

/// Returns the report as one JSON object.
std::string ToJson(const LoadReport& report);

/// Returns the report as human-readable text.
std::string ToTable(const LoadReport& report);

}  // namespace ibisvalve::bench
