#pragma once

#include <functional>
#include <string>

#include "net/event_loop.h"
#include "world/world.h"

namespace ibisvalve::net {

/// What came of a request to another process's admin page.
struct HttpResult {
  int status = 0;     // 0: no answer
  std::string body;   // whole
  std::string error;  // why there is no answer

  auto operator<=>(const HttpResult&) const = default;
};

/// Sends one request and calls `done` once from the loop, after `timeout` at
/// the latest. Never sends it twice.
void FetchHttp(EventLoop& loop,
               const world::Endpoint& server,
               const std::string& method,
               const std::string& path_and_query,
               const std::string& body,
               Duration timeout,
               std::function<void(const HttpResult&)> done);

}  // namespace ibisvalve::net
