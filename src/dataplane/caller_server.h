#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "dataplane/caller_exchange.h"
#include "net/net.h"

struct evhttp;
struct evhttp_bound_socket;

namespace ibisvalve::dataplane {

/// HTTP server for callers. Hands each whole request to a handler and notices
/// callers that hang up while they wait.
class CallerServer {
 public:
  using Handler = std::function<void(std::shared_ptr<CallerExchange>)>;

  /// Listens at `local`; port 0 picks a free one. Throws SystemError.
  CallerServer(net::EventLoop& loop,
               const world::Endpoint& local,
               Handler handler);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /// Bounds the bytes of a request's body and header.
  void SetLimits(uint64_t body_bytes, uint32_t header_bytes);
  /// Takes no new connections; those that stand are served on.
  void StopListening();
  /// Returns where it listens.
  world::Endpoint local() const { return local_; }
  /// Returns how many requests are being served.
  size_t active() const { return exchanges_.size(); }

 private:
  void Dispatch(evhttp_request* request);
  void CheckForResets();

  net::EventLoop& loop_;
  Handler handler_;
  evhttp* http_;
  evhttp_bound_socket* socket_;
  world::Endpoint local_;
  // Those whose caller waits; each takes itself out when it has ended.
  std::set<CallerExchange*> exchanges_;
  net::Timer reset_timer_;
};

}  // namespace ibisvalve::dataplane
