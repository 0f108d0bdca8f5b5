#pragma once

#include <map>
#include <string>

#include "world/world.h"

namespace ibisvalve::test {

/// An HTTP request as a caller sends it.
struct HttpRequest {
  std::string method = "GET";
  std::string path = "/";
  std::map<std::string, std::string> headers;
  std::string body;
};

/// The response that the caller received.
struct HttpResponse {
  int status = 0;                              // 0: no response
  std::map<std::string, std::string> headers;  // keys in lower case
  std::string body;
  bool body_complete = false;  // the body has its declared length

  /// Returns the value of the header `name` (in lower case), or "" if absent.
  std::string Header(const std::string& name) const;
};

/// Sends `request` on a new connection and waits up to `timeout` for the
/// response. Never retries.
HttpResponse SendRequest(const world::Endpoint& server,
                         const HttpRequest& request,
                         Duration timeout = std::chrono::seconds(10));

}  // namespace ibisvalve::test
