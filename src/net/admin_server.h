#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
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
  // Stamp from before the caller sent the request; nullopt: the server has no
  // stamps.
  std::optional<uint64_t> stamp{};

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
  /// Stamps requests with a number that grows with what the process knows, so
  /// that it can tell what it knew before a request was sent: a request may be
  /// read long after that, for example because the process was suspended.
  /// `present` returns the number. A request gets that of the time when the
  /// previous response on its connection was sent, or the first on a connection
  /// one from before the connection was established.
  void SetStamps(std::function<uint64_t()> present);
  /// Must be called when the present stamp has grown. Connections that are
  /// established later get it.
  void RefreshStamp();
  /// Returns the listening address, with the actual port.
  world::Endpoint local() const { return local_; }

 private:
  struct Pending;

  bufferevent* MakeConnection(event_base* base);
  bool HasWaitingConnection() const;
  void Dispatch(evhttp_request* request);
  const Handler* Find(const AdminRequest& request) const;

  const AdminLimits limits_;
  evhttp* http_;
  int listening_fd_ = -1;
  world::Endpoint local_;
  std::map<std::pair<std::string, std::string>, Handler> handlers_;
  std::map<std::pair<std::string, std::string>, Handler> prefix_handlers_;
  std::set<std::shared_ptr<Pending>> pending_;
  std::function<uint64_t()> present_stamp_;  // null: no stamps
  uint64_t accept_stamp_ = 0;                // of connections to be accepted
  Timer refresh_timer_;
  // Stamps of the connections. Entries of closed connections are replaced when
  // their address is used again.
  std::map<const bufferevent*, uint64_t> connection_stamps_;
};

}  // namespace ibisvalve::net
