#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "net/net.h"

namespace ibisvalve::bench {

/// Returns the user and system processor time of the process `pid`.
Duration ProcessorTimeOf(int pid);

/// Returns the resident set size of this process, in bytes.
uint64_t ResidentBytes();

/// Returns the quantile `share` (0 to 1) of `samples`; 0 if there are none.
Duration Quantile(std::vector<Duration> samples, double share);

/// Runs the loop until `condition` returns true. Throws std::runtime_error that
/// names `what` after `limit`.
void RunUntil(net::EventLoop& loop,
              const std::function<bool()>& condition,
              Duration limit,
              const std::string& what);

/// Runs the loop for `duration`.
void RunFor(net::EventLoop& loop, Duration duration);

/// Sends a request to an admin server and runs the loop until the response
/// arrives or the request fails.
net::HttpResult FetchAdmin(net::EventLoop& loop,
                           const world::Endpoint& admin,
                           const std::string& method,
                           const std::string& path,
                           const std::string& body);

}  // namespace ibisvalve::bench
