#pragma once

#include <event2/buffer.h>
#include <event2/http.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "dataplane/plane_fixture.h"
#include "net/net.h"

namespace ibisvalve::dataplane {

/// HTTP server that ends whenever it gets a request that crashes it, by default
/// one for /poison: all its connections break and new ones are refused until it
/// has restarted on the same port. Requests whose path starts with /slow get
/// their response late, all others at once.
class CrashingTarget {
 public:
  static constexpr Duration kServiceTime = std::chrono::milliseconds(100);
  using Predicate = std::function<bool(evhttp_request*)>;

  /// Starts the server. It is down for `downtime` after each crash.
  CrashingTarget(net::EventLoop& loop, Duration downtime)
      : loop_(loop),
        downtime_(downtime),
        restart_timer_(loop, [this] { Start(local_.port); }) {
    Start(0);
  }
  ~CrashingTarget() {
    *alive_ = false;
    Stop();
  }
  CrashingTarget(const CrashingTarget&) = delete;
  CrashingTarget& operator=(const CrashingTarget&) = delete;

  const world::Endpoint& local() const { return local_; }
  /// Returns how often the server has crashed.
  int crashes() const { return crashes_; }
  /// Returns whether the server accepts connections.
  bool running() const { return http_ != nullptr; }
  /// Returns the number of requests that wait for their response.
  size_t waiting() const { return waiting_.size(); }
  /// Sets a function that is called at each crash, before the connections
  /// break.
  void SetOnCrash(std::function<void()> on_crash) {
    on_crash_ = std::move(on_crash);
  }
  /// Sets which requests crash the server.
  void SetCrashesAt(Predicate crashes_at) {
    crashes_at_ = std::move(crashes_at);
  }
  /// Ends the server as at a crash, without a request that causes it.
  void End() { Crash(); }
  /// Keeps the connections of later crashes open without a response, as if the
  /// host dropped all their packets.
  void FallSilentWhenCrashing() { silent_ = true; }

 private:
  void Start(uint16_t port) {
    http_ = evhttp_new(loop_.base());
    evhttp_set_allowed_methods(http_, 0xFFFF);
    evhttp_set_gencb(
        http_,
        [](evhttp_request* request, void* argument) {
          static_cast<CrashingTarget*>(argument)->Handle(request);
        },
        this);
    evhttp_bound_socket* socket =
        evhttp_bind_socket_with_handle(http_, "127.0.0.1", port);
    local_ = net::LocalEndpoint(evhttp_bound_socket_get_fd(socket));
    socket_ = socket;
  }

  void Handle(evhttp_request* request) {
    const evhttp* server =
        evhttp_connection_get_server(evhttp_request_get_connection(request));
    if (server != http_) {
      return;  // a server that has fallen silent
    }
    const std::string uri = evhttp_request_get_uri(request);
    if (crashes_at_(request)) {
      Crash();
    } else if (uri.rfind("/slow", 0) == 0) {
      auto& timer = waiting_[request];
      timer = std::make_unique<net::Timer>(loop_, [this, request] {
        loop_.Post([ended = std::shared_ptr<net::Timer>(
                        std::move(waiting_.at(request)))] {});
        waiting_.erase(request);
        RespondOk(request, "late");
      });
      timer->StartOnce(kServiceTime);
    } else {
      RespondOk(request, "fine");
    }
  }

  void Crash() {
    ++crashes_;
    waiting_.clear();
    // The server cannot be freed from within one of its own callbacks.
    loop_.Post([this, alive = alive_] {
      if (*alive && http_ != nullptr) {
        if (on_crash_) {
          on_crash_();
        }
        if (silent_) {
          evhttp_del_accept_socket(http_, socket_);
          silent_servers_.push_back(std::exchange(http_, nullptr));
        }
        Stop();
        restart_timer_.StartOnce(downtime_);
      }
    });
  }

  void Stop() {
    waiting_.clear();
    if (http_ != nullptr) {
      evhttp_free(std::exchange(http_, nullptr));
    }
    if (!*alive_) {
      for (evhttp* server : silent_servers_) {
        evhttp_free(server);
      }
    }
  }

  net::EventLoop& loop_;
  Duration downtime_;
  net::Timer restart_timer_;
  evhttp* http_ = nullptr;
  evhttp_bound_socket* socket_ = nullptr;
  std::vector<evhttp*> silent_servers_;
  world::Endpoint local_;
  std::map<evhttp_request*, std::unique_ptr<net::Timer>> waiting_;
  std::function<void()> on_crash_;
  Predicate crashes_at_ = [](evhttp_request* request) {
    return std::string(evhttp_request_get_uri(request)) == "/poison";
  };
  int crashes_ = 0;
  bool silent_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ibisvalve::dataplane
