#pragma once

#include <map>
#include <string>

#include "world/world.h"

namespace ibisvalve::test {

/// A request of a caller.
struct HttpRequest {
  std::string method = "GET";
  std::string path = "/";
  std::map<std::string, std::string> headers;
  std::string body;
};

/// What the caller got for it.
struct HttpAnswer {
  int status = 0;                              // 0: no answer
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  bool whole = false;  // the body is as long as was announced

  /// Returns the header `name`, which is in lower case, or "".
  std::string Header(const std::string& name) const;
};

/// Sends `request` on a connection of its own and waits for the answer, for
/// `timeout` at most. Never sends it twice.
HttpAnswer Call(const world::Endpoint& server,
                const HttpRequest& request,
                Duration timeout = std::chrono::seconds(10));

}  // namespace ibisvalve::test
