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

/// A pool of keep-alive connections to one endpoint, each with at most one
/// request in flight.
class ConnectionPool {
 public:
  /// Opens at most `max_connections`. A request fails after `timeout` without
  /// any data on its connection.
  ConnectionPool(net::EventLoop& loop,
                 const world::Endpoint& endpoint,
                 size_t max_connections,
                 Duration timeout);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  /// Returns whether Acquire would return a connection rather than null.
  bool HasFree() const {
    return !idle_.empty() || all_.size() < max_connections_;
  }
  /// Returns an idle or new connection, or null if all are in use.
  evhttp_connection* Acquire();
  /// Returns a connection to the pool. It is reused only if `reusable`, that
  /// is, if its last response was complete.
  void Release(evhttp_connection* connection, bool reusable);
  /// Returns the endpoint of the connections.
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
