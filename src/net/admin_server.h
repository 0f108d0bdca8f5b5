#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "net/event_loop.h"
#include "world/world.h"

struct bufferevent;
struct event_base;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace ibisvalve::net {

/// An HTTP request to the admin endpoint of a process.
struct AdminRequest {
  std::string method;                        // upper case
  std::string path;                          // without the query
  std::map<std::string, std::string> query;  // decoded
  std::string body;

  auto operator<=>(const AdminRequest&) const = default;
};

/// The response to an AdminRequest.
struct AdminResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;

  auto operator<=>(const AdminResponse&) const = default;
};

/// Limits of an admin server.
struct AdminLimits {
  uint32_t body_bytes = 4 << 20;  // of a request

  auto operator<=>(const AdminLimits&) const = default;
};

/// HTTP server for operators and metrics, on an address of its own. A handler
/// may call its Reply later, on the loop thread and during the lifetime of the
/// server. A response is dropped if its connection has been closed.
class AdminServer {
 public:
  using Reply = std::function<void(const AdminResponse&)>;
  using Handler = std::function<void(const AdminRequest&, Reply)>;

  /// Listens at `local`; port 0 selects a free port. A connection holds at most
  /// one request of the largest size that is not being handled; the rest stays
  /// unread. Throws SystemError.
  AdminServer(EventLoop& loop,
              const world::Endpoint& local,
              const AdminLimits& limits = {});
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /// Registers `handler` for `method` on exactly `path`.
  void Handle(const std::string& method,
              const std::string& path,
              Handler handler);
  /// Registers `handler` for `method` on every path that begins with `prefix`
  /// and has no exact handler.
  void HandlePrefix(const std::string& method,
                    const std::string& prefix,
                    Handler handler);
  /// Returns the listening address, with the actual port.
  world::Endpoint local() const { return local_; }

 private:
  struct Pending;

  bufferevent* MakeConnection(event_base* base) const;
  void Dispatch(evhttp_request* request);
  const Handler* Find(const AdminRequest& request) const;

  const AdminLimits limits_;
  evhttp* http_;
  world::Endpoint local_;
  std::map<std::pair<std::string, std::string>, Handler> handlers_;
  std::map<std::pair<std::string, std::string>, Handler> prefix_handlers_;
  std::set<std::shared_ptr<Pending>> pending_;
};

}  // namespace ibisvalve::net
