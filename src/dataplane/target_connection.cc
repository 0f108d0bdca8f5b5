#include "dataplane/target_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glog/logging.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <utility>

#include "dataplane/http_headers.h"

namespace ibisvalve::dataplane {
namespace {

constexpr net::HttpLimits kAnswerLimits{64 << 10, UINT64_MAX};
// The target stands on the same host: one that does not accept in this time
// will not soon.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);

constexpr uint16_t kFirstFinalStatus = 200;
constexpr uint16_t kFirstRedirect = 300;

}  // namespace

TargetConnection::TargetConnection(net::EventLoop& loop,
                                   const world::Endpoint& target,
                                   std::string id_header)
    : loop_(loop),
      id_header_(std::move(id_header)),
      bufferevent_(
          bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)),
      reader_(net::HttpReader::Kind::kResponses, kAnswerLimits),
      connect_timer_(loop, [this] {
        Fail(TargetFault::kNotReached, "no connection in time");
      }) {
  CHECK_NOTNULL(bufferevent_);
  bufferevent_setcb(
      bufferevent_,
      [](bufferevent*, void* argument) {
        static_cast<TargetConnection*>(argument)->OnReadable();
      },
      nullptr,
      [](bufferevent*, int16_t what, void* argument) {
        static_cast<TargetConnection*>(argument)->OnEvent(what);
      },
      this);
  bufferevent_enable(bufferevent_, EV_READ | EV_WRITE);
  const net::SocketAddress address = net::ToSocketAddress(target);
  if (bufferevent_socket_connect(bufferevent_, address.get(),
                                 static_cast<int>(address.length)) != 0) {
    connect_timer_.StartOnce(Duration(0));
  } else {
    connect_timer_.StartOnce(kConnectTimeout);
  }
}

TargetConnection::~TargetConnection() {
  *alive_ = false;
  bufferevent_free(bufferevent_);
}

void TargetConnection::Begin(const TargetRequest& request, Handlers handlers) {
  CHECK(!in_call_) << "a call is under way on this connection";
  handlers_ = std::move(handlers);
  method_ = request.method;
  const std::string* id =
      id_header_.empty() ? nullptr : FindHeader(request.headers, id_header_);
  id_ = id == nullptr ? "" : *id;
  in_call_ = true;
  head_told_ = false;
  reader_.Next(kAnswerLimits, method_ == "HEAD");
  const std::string head = net::RequestHeadText(
      request.method, request.uri, request.headers, request.body.size());
  bufferevent_write(bufferevent_, head.data(), head.size());
  if (!request.body.empty()) {
    bufferevent_write(bufferevent_, request.body.data(), request.body.size());
  }
}

void TargetConnection::SetReading(bool reading) {
  if (reading) {
    bufferevent_enable(bufferevent_, EV_READ);
  } else {
    bufferevent_disable(bufferevent_, EV_READ);
  }
}

void TargetConnection::OnReadable() {
  if (!in_call_) {
    handlers_.on_idle_closed();  // what came belongs to no request
    return;
  }
  const std::shared_ptr<bool> alive = alive_;
  try {
    while (*alive && in_call_ && ReadSome()) {
    }
  } catch (const net::HttpError& error) {
    Fail(TargetFault::kBroke, error.what());
  }
}

// Returns whether there may be more to read.
bool TargetConnection::ReadSome() {
  if (reader_.FeedFrom(bufferevent_get_input(bufferevent_)) == 0) {
    return false;
  }
  const std::shared_ptr<bool> alive = alive_;
  if (reader_.head_done() && !head_told_ && !skipping_) {
    TakeHead();
  }
  if (*alive && in_call_ && head_told_) {
    std::string body = reader_.TakeBody();
    if (!body.empty()) {
      handlers_.on_data(std::move(body));
    }
  }
  if (*alive && in_call_ && reader_.done()) {
    TakeEnd();
  }
  return *alive;
}

void TargetConnection::TakeHead() {
  const net::HttpHead& head = reader_.head();
  if (head.status < kFirstFinalStatus) {
    skipping_ = true;  // only announces the answer
    return;
  }
  if (!BelongsToCall(head)) {
    skipping_ = true;
    spoiled_ = true;
    return;
  }
  head_told_ = true;
  handlers_.on_head(TargetHead{head.status, head.headers, head.length});
}

bool TargetConnection::BelongsToCall(const net::HttpHead& head) const {
  if (id_.empty()) {
    return true;
  }
  const std::string* id = FindHeader(head.headers, id_header_);
  if (id == nullptr) {
    // A target that could not read the request does not know its id.
    return head.status >= kFirstRedirect;
  }
  return *id == id_;
}

void TargetConnection::TakeEnd() {
  if (skipping_) {
    skipping_ = false;
    reader_.TakeBody();
    reader_.Next(kAnswerLimits, method_ == "HEAD");
    return;
  }
  End();
}

void TargetConnection::End() {
  const bool more =
      evbuffer_get_length(bufferevent_get_input(bufferevent_)) > 0;
  // The rest of a body that the target did not wait for is still to go out;
  // what follows it must not get between.
  const bool unsent =
      evbuffer_get_length(bufferevent_get_output(bufferevent_)) > 0;
  const net::HttpHead& head = reader_.head();
  const bool reusable =
      head.keep_alive && !head.until_close && !more && !unsent && !spoiled_;
  in_call_ = false;
  idle_since_ = loop_.Now();
  const auto on_end = handlers_.on_end;  // survives this connection
  on_end(reusable);
}

void TargetConnection::OnEvent(int16_t what) {
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    connected_ = true;
    connect_timer_.Stop();
    const int on = 1;
    setsockopt(bufferevent_getfd(bufferevent_), IPPROTO_TCP, TCP_NODELAY, &on,
               sizeof(on));
    return;
  }
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
    return;
  }
  if (!in_call_) {
    if (handlers_.on_idle_closed) {
      handlers_.on_idle_closed();
    }
    return;
  }
  const bool ends =
      (what & BEV_EVENT_EOF) != 0 && head_told_ && reader_.head().until_close;
  if (!ends) {
    const int error = EVUTIL_SOCKET_ERROR();
    Fail(connected_ ? TargetFault::kBroke : TargetFault::kNotReached,
         (what & BEV_EVENT_EOF) != 0 ? "closed by the target"
                                     : evutil_socket_error_to_string(error));
    return;
  }
  try {
    reader_.FeedEnd();
  } catch (const net::HttpError& error) {
    Fail(TargetFault::kBroke, error.what());
    return;
  }
  End();
}

void TargetConnection::Fail(TargetFault fault, const std::string& why) {
  connect_timer_.Stop();
  if (!in_call_) {
    return;
  }
  in_call_ = false;
  const auto on_fault = handlers_.on_fault;  // survives this connection
  on_fault(fault, why);
}

}  // namespace ibisvalve::dataplane
