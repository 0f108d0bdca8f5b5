#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "dataplane/caller_connection.h"
#include "net/net.h"

namespace ibisvalve::dataplane {

/// HTTP server for callers. Hands each whole request to a handler and notices
/// callers that hang up while they wait.
class CallerServer {
 public:
  struct Handlers {
    std::function<void(std::shared_ptr<CallerExchange>)> on_request;
    /// Answers what is no request.
    std::function<void(CallerExchange& exchange, const net::HttpError& error)>
        on_bad_request;
  };

  /// Listens at `local`; port 0 picks a free one. Throws SystemError.
  CallerServer(net::EventLoop& loop,
               const world::Endpoint& local,
               uint32_t max_connections,
               Handlers handlers);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /// Bounds what callers may send; holds from the next request on.
  void SetLimits(const CallerLimits& limits) { limits_ = limits; }
  /// Closes each connection after its next answer.
  void Retire();
  /// Takes no new connections and closes those that are idle.
  void StopListening();
  /// Returns where it listens.
  world::Endpoint local() const { return local_; }
  /// Returns how many connections stand.
  size_t connections() const { return connections_.size(); }

 private:
  void Accept(int fd);

  net::EventLoop& loop_;
  const uint32_t max_connections_;
  Handlers handlers_;
  CallerLimits limits_;
  bool retiring_ = false;
  std::map<uint64_t, std::unique_ptr<CallerConnection>> connections_;
  uint64_t next_number_ = 0;
  std::optional<net::Listener> listener_;
  world::Endpoint local_;
};

}  // namespace ibisvalve::dataplane
