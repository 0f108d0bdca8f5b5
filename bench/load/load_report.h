#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "bench/common/latency_histogram.h"

namespace ibisvalve::bench {

/// What came of one run of the load generator.
struct LoadReport {
  double seconds = 0;  // of the schedule
  Duration deadline{0};
  uint64_t scheduled = 0;   // requests that the schedule asked for
  uint64_t answered = 0;    // with a whole, right answer of status 200
  uint64_t in_time = 0;     // of these, within the deadline
  uint64_t refused = 0;     // outcome not-run
  uint64_t unknown = 0;     // outcome unknown
  uint64_t failed = 0;      // other statuses
  uint64_t broken = 0;      // no whole answer: closed, cut or timed out
  uint64_t swapped = 0;     // the answer named another request
  uint64_t unfinished = 0;  // still under way at the end
  uint64_t attempts = 0;    // as the answers tell them, at least 1 each
  uint64_t connections = 0;
  std::map<std::string, uint64_t> reasons;  // of refusals and unknowns
  std::map<int, uint64_t> statuses;
  LatencyHistogram latency;  // answered, from the intended start
};

/// Returns the report as one JSON object.
std::string ToJson(const LoadReport& report);

/// Returns the report as lines for people.
std::string ToTable(const LoadReport& report);

}  // namespace ibisvalve::bench
