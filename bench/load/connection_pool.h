#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

#include "base/base.h"
#include "net/net.h"
#include "world/world.h"

struct evhttp_connection;

namespace ibisvalve::bench {

/// Kept connections to one endpoint, each with at most one request under way.
class ConnectionPool {
 public:
  /// Opens at most `max_connections`; a request on one of them fails after
  /// `timeout` of silence.
  ConnectionPool(net::EventLoop& loop,
                 const world::Endpoint& endpoint,
                 size_t max_connections,
                 Duration timeout);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  /// Returns whether Take would return a connection.
  bool HasFree() const {
    return !idle_.empty() || all_.size() < max_connections_;
  }
  /// Returns a connection that nobody uses, or null when all are in use.
  evhttp_connection* Take();
  /// Gives a connection back; `reusable` when its last answer was whole.
  void Return(evhttp_connection* connection, bool reusable);
  /// Returns where the connections lead.
  const world::Endpoint& endpoint() const { return endpoint_; }
  /// Returns how many connections were opened so far.
  uint64_t opened() const { return opened_; }

 private:
  net::EventLoop& loop_;
  world::Endpoint endpoint_;
  size_t max_connections_;
  Duration timeout_;
  std::vector<evhttp_connection*> idle_;
  std::vector<evhttp_connection*> all_;
  uint64_t opened_ = 0;
};

}  // namespace ibisvalve::bench
