#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "dataplane/caller_connection.h"
#include "net/net.h"

namespace ibisvalve::dataplane {

/// HTTP server for callers. Passes each complete request to a handler and
/// detects callers that disconnect while they wait.
class CallerServer {
 public:
  struct Handlers {
    std::function<void(std::shared_ptr<CallerExchange>)> on_request;
    /// Responds to bytes that are not a valid request.
    std::function<void(CallerExchange& exchange, const net::HttpError& error)>
        on_bad_request;
  };

  /// Listens on `local`; port 0 selects a free port. Connections above
  /// `max_connections` are closed right after they are accepted. `memory`
  /// bounds the bodies of all requests and must outlive the server. Throws
  /// SystemError.
  CallerServer(net::EventLoop& loop,
               const world::Endpoint& local,
               uint32_t max_connections,
               MemoryBudget& memory,
               Handlers handlers);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /// Sets the limits for callers. They apply from the next request on.
  void SetLimits(const CallerLimits& limits) { limits_ = limits; }
  /// Closes each connection after its next response.
  void DisableKeepAlive();
  /// Stops accepting connections and closes the idle ones.
  void StopListening();
  /// Returns the endpoint that the server listens on.
  world::Endpoint local() const { return local_; }
  /// Returns whether a request is being received or served, or a response is
  /// not sent completely.
  bool busy() const;
  /// Returns the number of open connections.
  size_t connections() const { return connections_.size(); }

 private:
  void Accept(int fd);

  net::EventLoop& loop_;
  const uint32_t max_connections_;
  MemoryBudget& memory_;
  Handlers handlers_;
  CallerLimits limits_;
  bool keep_alive_disabled_ = false;
  std::map<uint64_t, std::unique_ptr<CallerConnection>> connections_;
  uint64_t next_number_ = 0;
  std::optional<net::Listener> listener_;
  world::Endpoint local_;
};

}  // namespace ibisvalve::dataplane
