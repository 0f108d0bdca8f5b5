#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "net/event_loop.h"
#include "world/world.h"

namespace ibisvalve::net {

/// Result of an HTTP request to the admin endpoint of another process.
struct HttpResult {
  int status = 0;  // 0: no response
  std::string body;
  std::string error;  // reason if there is no response

  auto operator<=>(const HttpResult&) const = default;
};

/// Maximum size of the body of a response, unless the call sets another one.
inline constexpr uint32_t kMaxFetchedBytes = 64 << 20;

/// Sends one HTTP request to `server`. Calls `done` exactly once, on the loop
/// thread and no later than `timeout`. Never retries the request. A response
/// whose body has more than `max_body_bytes` counts as none.
void FetchHttp(EventLoop& loop,
               const world::Endpoint& server,
               const std::string& method,
               const std::string& path_and_query,
               const std::string& body,
               Duration timeout,
               std::function<void(const HttpResult&)> done,
               uint32_t max_body_bytes = kMaxFetchedBytes);

}  // namespace ibisvalve::net
