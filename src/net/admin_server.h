#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "net/event_loop.h"
#include "world/world.h"

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace ibisvalve::net {

/// A request of an operator.
struct AdminRequest {
  std::string method;                        // upper case
  std::string path;                          // without the query
  std::map<std::string, std::string> query;  // decoded
  std::string body;

  auto operator<=>(const AdminRequest&) const = default;
};

/// Its answer.
struct AdminResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;

  auto operator<=>(const AdminResponse&) const = default;
};

/// HTTP for operators and metrics, on its own address. Handlers may answer
/// later, from the loop and while the server lives; an answer to a caller that
/// has gone is dropped.
class AdminServer {
 public:
  using Reply = std::function<void(const AdminResponse&)>;
  using Handler = std::function<void(const AdminRequest&, Reply)>;

  /// Listens at `local`; port 0 picks a free one. Throws SystemError.
  AdminServer(EventLoop& loop, const world::Endpoint& local);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /// Calls `handler` for `method` on exactly `path`.
  void Handle(const std::string& method,
              const std::string& path,
              Handler handler);
  /// Calls `handler` for `method` on every path that begins with `prefix` and
  /// has no handler of its own.
  void HandleBelow(const std::string& method,
                   const std::string& prefix,
                   Handler handler);
  /// Returns where it listens.
  world::Endpoint local() const { return local_; }

 private:
  struct Pending;

  void Dispatch(evhttp_request* request);
  const Handler* Find(const AdminRequest& request) const;

  evhttp* http_;
  world::Endpoint local_;
  std::map<std::pair<std::string, std::string>, Handler> handlers_;
  std::map<std::pair<std::string, std::string>, Handler> below_;
  std::set<std::shared_ptr<Pending>> waiting_;
};

}  // namespace ibisvalve::net
