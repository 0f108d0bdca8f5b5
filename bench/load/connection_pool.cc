#include "bench/load/connection_pool.h"

#include <event2/http.h>
#include <glog/logging.h>

#include <algorithm>

namespace ibisvalve::bench {

ConnectionPool::ConnectionPool(net::EventLoop& loop,
                               const world::Endpoint& endpoint,
                               size_t max_connections,
                               Duration timeout)
    : loop_(loop),
      endpoint_(endpoint),
      max_connections_(max_connections),
      timeout_(timeout) {}

ConnectionPool::~ConnectionPool() {
  for (evhttp_connection* connection : all_) {
    evhttp_connection_free(connection);
  }
}

evhttp_connection* ConnectionPool::Acquire() {
  if (!idle_.empty()) {
    evhttp_connection* connection = idle_.back();
    idle_.pop_back();
    return connection;
  }
  if (all_.size() >= max_connections_) {
    return nullptr;
  }
  evhttp_connection* connection = evhttp_connection_base_new(
      loop_.base(), nullptr, endpoint_.ip.c_str(), endpoint_.port);
  CHECK_NOTNULL(connection);
  constexpr int64_t kMicrosPerSecond = 1'000'000;
  const timeval timeout_value{
      static_cast<time_t>(timeout_.count() / kMicrosPerSecond),
      static_cast<suseconds_t>(timeout_.count() % kMicrosPerSecond)};
  evhttp_connection_set_timeout_tv(connection, &timeout_value);
  all_.push_back(connection);
  ++opened_;
  return connection;
}

void ConnectionPool::Release(evhttp_connection* connection, bool reusable) {
  if (reusable) {
    idle_.push_back(connection);
    return;
  }
  std::erase(all_, connection);
  // Deferred: a connection must not be freed inside its own callback.
  loop_.Post([connection] { evhttp_connection_free(connection); });
}

}  // namespace ibisvalve::bench
