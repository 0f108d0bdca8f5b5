#include "dataplane/caller_server.h"

#include <event2/http.h>
#include <event2/listener.h>
#include <glog/logging.h>

#include <cerrno>
#include <utility>

namespace ibisvalve::dataplane {
namespace {

constexpr Duration kResetCheckInterval = std::chrono::milliseconds(100);

constexpr int kListenBacklog = 1024;

constexpr int kMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                         EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                         EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

}  // namespace

CallerServer::CallerServer(net::EventLoop& loop,
                           const world::Endpoint& local,
                           Handler handler)
    : loop_(loop),
      handler_(std::move(handler)),
      http_(evhttp_new(loop.base())),
      reset_timer_(loop, [this] { CheckForResets(); }) {
  CHECK_NOTNULL(http_);
  SetLimits(world::Limits().request_body, world::Limits().header_bytes);
  evhttp_set_allowed_methods(http_, kMethods);
  // A body over the limit is read and dropped before the refusal, which a
  // caller that is still sending would not see otherwise.
  evhttp_set_flags(http_, EVHTTP_SERVER_LINGERING_CLOSE);
  evhttp_set_default_content_type(http_, nullptr);
  evhttp_set_gencb(
      http_,
      [](evhttp_request* request, void* argument) {
        static_cast<CallerServer*>(argument)->Dispatch(request);
      },
      this);
  const net::SocketAddress address = net::ToSocketAddress(local);
  evconnlistener* listener = evconnlistener_new_bind(
      loop.base(), nullptr, nullptr,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      kListenBacklog, address.get(), static_cast<int>(address.length));
  if (listener == nullptr) {
    const int error = errno;
    evhttp_free(http_);
    throw SystemError("cannot listen at " + world::ToString(local), error);
  }
  socket_ = evhttp_bind_listener(http_, listener);
  CHECK_NOTNULL(socket_);
  local_ = net::LocalEndpoint(evconnlistener_get_fd(listener));
  reset_timer_.StartPeriodic(kResetCheckInterval);
}

CallerServer::~CallerServer() {
  evhttp_free(http_);  // closes every connection, which ends each exchange
}

void CallerServer::SetLimits(uint64_t body_bytes, uint32_t header_bytes) {
  evhttp_set_max_body_size(http_, static_cast<ev_ssize_t>(body_bytes));
  evhttp_set_max_headers_size(http_, header_bytes);
}

void CallerServer::StopListening() {
  if (socket_ != nullptr) {
    evhttp_del_accept_socket(http_, std::exchange(socket_, nullptr));
  }
}

void CallerServer::Dispatch(evhttp_request* request) {
  auto exchange = std::make_shared<CallerExchange>(
      loop_, request, [this](CallerExchange* over) { exchanges_.erase(over); });
  exchanges_.insert(exchange.get());
  handler_(std::move(exchange));
}

void CallerServer::CheckForResets() {
  const std::set<CallerExchange*> waiting = exchanges_;
  for (CallerExchange* exchange : waiting) {
    if (exchanges_.contains(exchange)) {
      exchange->CheckForReset();
    }
  }
}

}  // namespace ibisvalve::dataplane
