#include "net/admin_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <poll.h>

#include <cerrno>
#include <utility>

#include "net/http_method.h"
#include "net/socket_address.h"

namespace ibisvalve::net {
namespace {

constexpr ev_ssize_t kMaxAdminHeaderBytes = 16 << 10;
constexpr size_t kMaxConnectionStamps = 4096;
constexpr Duration kRefreshRetryInterval = std::chrono::milliseconds(2);

AdminRequest Parse(evhttp_request* request) {
  AdminRequest parsed;
  parsed.method = MethodName(request);
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
  const char* path = evhttp_uri_get_path(uri);
  parsed.path = path == nullptr ? "/" : path;
  evkeyvalq query;
  const char* text = evhttp_uri_get_query(uri);
  if (text != nullptr && evhttp_parse_query_str(text, &query) == 0) {
    for (evkeyval* pair = query.tqh_first; pair != nullptr;
         pair = pair->next.tqe_next) {
      parsed.query[pair->key] = pair->value;
    }
    evhttp_clear_headers(&query);
  }
  evbuffer* body = evhttp_request_get_input_buffer(request);
  parsed.body.resize(evbuffer_get_length(body));
  evbuffer_copyout(body, parsed.body.data(), parsed.body.size());
  return parsed;
}

void SendResponse(evhttp_request* request, const AdminResponse& response) {
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Content-Type", response.content_type.c_str());
  evbuffer* body = evhttp_request_get_output_buffer(request);
  evbuffer_add(body, response.body.data(), response.body.size());
  evhttp_send_reply(request, response.status, nullptr, nullptr);
}

}  // namespace

// A request without a response so far. `request` is null once the connection is
// closed, because evhttp frees the request together with its connection.
struct AdminServer::Pending {
  evhttp_request* request;
};

AdminServer::AdminServer(EventLoop& loop,
                         const world::Endpoint& local,
                         const AdminLimits& limits)
    : limits_(limits),
      http_(evhttp_new(loop.base())),
      refresh_timer_(loop, [this] { RefreshStamp(); }) {
  evhttp_set_max_headers_size(http_, kMaxAdminHeaderBytes);
  evhttp_set_max_body_size(http_, limits.body_bytes);
  evhttp_set_bevcb(
      http_,
      [](event_base* base, void* argument) {
        return static_cast<AdminServer*>(argument)->MakeConnection(base);
      },
      this);
  evhttp_set_allowed_methods(http_, EVHTTP_REQ_GET | EVHTTP_REQ_HEAD |
                                        EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                        EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH);
  evhttp_set_gencb(
      http_,
      [](evhttp_request* request, void* argument) {
        static_cast<AdminServer*>(argument)->Dispatch(request);
      },
      this);
  evhttp_bound_socket* socket =
      evhttp_bind_socket_with_handle(http_, local.ip.c_str(), local.port);
  if (socket == nullptr) {
    const int error = errno;
    evhttp_free(http_);
    throw SystemError("cannot listen at " + world::ToString(local), error);
  }
  listening_fd_ = evhttp_bound_socket_get_fd(socket);
  local_ = LocalEndpoint(listening_fd_);
}

// evhttp reads on while it handles a request, so requests that are pipelined
// without end would pile up in the input buffer. The buffer must have room for
// one request, because evhttp takes a body only as a whole.
bufferevent* AdminServer::MakeConnection(event_base* base) {
  bufferevent* connection =
      bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
  if (connection != nullptr) {
    bufferevent_setwatermark(connection, EV_READ, 0,
                             size_t{limits_.body_bytes} + kMaxAdminHeaderBytes);
    if (present_stamp_) {
      if (connection_stamps_.size() >= kMaxConnectionStamps) {
        connection_stamps_.clear();  // open connections then count as oldest
      }
      connection_stamps_[connection] = accept_stamp_;
    }
  }
  return connection;
}

void AdminServer::SetStamps(std::function<uint64_t()> present) {
  present_stamp_ = std::move(present);
  RefreshStamp();
}

// A connection that waits to be accepted may have been established before the
// stamp grew.
void AdminServer::RefreshStamp() {
  if (HasWaitingConnection()) {
    refresh_timer_.StartOnce(kRefreshRetryInterval);
  } else {
    accept_stamp_ = present_stamp_();
  }
}

bool AdminServer::HasWaitingConnection() const {
  pollfd listener{listening_fd_, POLLIN, 0};
  return poll(&listener, 1, 0) != 0;  // also if that cannot be found out
}

AdminServer::~AdminServer() {
  evhttp_free(http_);
}

void AdminServer::Handle(const std::string& method,
                         const std::string& path,
                         Handler handler) {
  handlers_[{method, path}] = std::move(handler);
}

void AdminServer::HandlePrefix(const std::string& method,
                               const std::string& prefix,
                               Handler handler) {
  prefix_handlers_[{method, prefix}] = std::move(handler);
}

const AdminServer::Handler* AdminServer::Find(
    const AdminRequest& request) const {
  const auto exact = handlers_.find({request.method, request.path});
  if (exact != handlers_.end()) {
    return &exact->second;
  }
  for (const auto& [key, handler] : prefix_handlers_) {
    if (key.first == request.method && request.path.starts_with(key.second)) {
      return &handler;
    }
  }
  return nullptr;
}

void AdminServer::Dispatch(evhttp_request* request) {
  AdminRequest parsed = Parse(request);
  evhttp_connection* connection = evhttp_request_get_connection(request);
  if (present_stamp_) {
    const auto found =
        connection_stamps_.find(evhttp_connection_get_bufferevent(connection));
    parsed.stamp = found == connection_stamps_.end() ? 0 : found->second;
  }
  const Handler* handler = Find(parsed);
  if (handler == nullptr) {
    SendResponse(request,
                 AdminResponse{404, "application/json",
                               R"({"error":"no such page or method"})"});
    return;
  }
  auto pending = std::make_shared<Pending>(Pending{request});
  evhttp_connection_set_closecb(
      connection,
      [](evhttp_connection*, void* argument) {
        static_cast<Pending*>(argument)->request = nullptr;
      },
      pending.get());
  // evhttp holds a raw pointer to `pending` until the response is sent.
  // pending_ keeps the object alive even if the handler discards its Reply.
  pending_.insert(pending);
  (*handler)(parsed, [this, pending](const AdminResponse& response) {
    pending_.erase(pending);
    evhttp_request* waiting = std::exchange(pending->request, nullptr);
    if (waiting != nullptr) {
      evhttp_connection* open = evhttp_request_get_connection(waiting);
      evhttp_connection_set_closecb(open, nullptr, nullptr);
      if (present_stamp_) {
        connection_stamps_[evhttp_connection_get_bufferevent(open)] =
            present_stamp_();
      }
      SendResponse(waiting, response);
    }
  });
}

}  // namespace ibisvalve::net
