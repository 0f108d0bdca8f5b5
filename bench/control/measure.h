#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "net/net.h"

namespace ibisvalve::bench {

/// Returns the processor time that the process `pid` has used.
Duration CpuOf(int pid);

/// Returns the resident memory of this process, in bytes.
uint64_t ResidentBytes();

/// Returns the `share` quantile of `samples`; 0 when there are none.
Duration Quantile(std::vector<Duration> samples, double share);

/// Runs the loop until `condition` holds; throws std::runtime_error after
/// `limit`.
void RunUntil(net::EventLoop& loop,
              const std::function<bool()>& condition,
              Duration limit,
              const std::string& what);

/// Runs the loop for `duration`.
void RunFor(net::EventLoop& loop, Duration duration);

/// Asks an admin page and waits for its answer.
net::HttpResult Ask(net::EventLoop& loop,
                    const world::Endpoint& admin,
                    const std::string& method,
                    const std::string& path,
                    const std::string& body);

}  // namespace ibisvalve::bench
