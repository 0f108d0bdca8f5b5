#pragma once

#include <functional>
#include <sstream>
#include <string>
#include <vector>

#include "ctl/ctl.h"
#include "net/net.h"

namespace ibisvalve::ctl {

/// Admin server with scripted answers. Records all requests that have a
/// handler.
class FakeDaemon {
 public:
  explicit FakeDaemon(net::EventLoop& loop)
      : server_(loop, world::Endpoint{"127.0.0.1", 0}) {}

  /// Answers `method` on `path` with the result of `answer`. A response with
  /// status 0 is not sent, so that the request times out.
  void On(const std::string& method,
          const std::string& path,
          const std::function<net::AdminResponse(const net::AdminRequest&)>&
              answer) {
    server_.Handle(method, path,
                   [this, answer](const net::AdminRequest& request,
                                  const net::AdminServer::Reply& reply) {
                     requests.push_back(request);
                     const net::AdminResponse response = answer(request);
                     if (response.status != 0) {
                       reply(response);
                     }
                   });
  }
  /// Always answers `method` on `path` with status 200 and the JSON `body`.
  void On(const std::string& method,
          const std::string& path,
          const std::string& body) {
    On(method, path, [body](const net::AdminRequest&) {
      return net::AdminResponse{200, "application/json", body};
    });
  }
  world::Endpoint admin() const { return server_.local(); }

  std::vector<net::AdminRequest> requests;

 private:
  net::AdminServer server_;
};

/// Exit code and output of one run of a command.
struct CommandResult {
  ExitCode code = ExitCode::kOk;
  std::string out;
  std::string err;
};

/// Runs a command on `loop`, with a short delay between attempts.
inline CommandResult RunWith(net::EventLoop& loop, Options options) {
  std::ostringstream out;
  std::ostringstream err;
  options.retry_delay = std::chrono::milliseconds(1);
  const ExitCode code = RunCommand(loop, options, out, err);
  return CommandResult{code, out.str(), err.str()};
}

/// Returns an address on which no socket listens.
inline world::Endpoint ClosedEndpoint(net::EventLoop& loop) {
  return net::Listener(loop, world::Endpoint{"127.0.0.1", 0}, [](int) {})
      .local();
}

}  // namespace ibisvalve::ctl
