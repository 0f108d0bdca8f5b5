#include "dataplane/target_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glog/logging.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <utility>

#include "dataplane/http_headers.h"

namespace ibisvalve::dataplane {
namespace {

constexpr net::HttpLimits kResponseLimits{64 << 10, UINT64_MAX};
// The target runs on the same host: if it does not accept a connection within
// this time, it is not expected to do so soon.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);

// Statuses of HTTP (RFC 9110, 15).
constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;
constexpr uint16_t kFirstFinalStatus = 200;
constexpr uint16_t kFirstRedirect = 300;
constexpr uint16_t kFirstFailure = 400;
constexpr size_t kMaxFailedIds = 64;
// Limit for what a target sends before the response to a call: interim
// responses and responses to earlier calls.
constexpr size_t kMaxSkippedBytes = 1 << 20;
constexpr int kBadGateway = 502;

}  // namespace

TargetConnection::TargetConnection(net::EventLoop& loop,
                                   const world::Endpoint& target,
                                   std::string id_header)
    : loop_(loop),
      id_header_(std::move(id_header)),
      bufferevent_(
          bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)),
      reader_(net::HttpReader::Kind::kResponses, kResponseLimits),
      opened_at_(loop.Now()),
      connect_timer_(loop, [this] {
        FailCall(TargetFault::kNotReached,
                 "connecting to the target failed or timed out");
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

void TargetConnection::StartCall(const TargetRequest& request,
                                 Handlers handlers) {
  CHECK(!in_call_) << "another call is in progress on this connection";
  handlers_ = std::move(handlers);
  method_ = request.method;
  const std::string* id =
      id_header_.empty() ? nullptr : FindHeader(request.headers, id_header_);
  id_ = id == nullptr ? "" : *id;
  ++calls_;
  in_call_ = true;
  head_delivered_ = false;
  skipped_bytes_ = 0;
  reader_.Next(kResponseLimits, method_ == "HEAD");
  const std::string head = net::RequestHeadText(
      request.method, request.uri, request.headers, request.body.size());
  bufferevent_write(bufferevent_, head.data(), head.size());
  if (!request.body.empty()) {
    bufferevent_write(bufferevent_, request.body.data(), request.body.size());
  }
}

bool TargetConnection::HasFailed(const std::string& id) const {
  return std::find(failed_ids_.begin(), failed_ids_.end(), id) !=
         failed_ids_.end();
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
    handlers_.on_idle_closed();  // the target sent unsolicited bytes
    return;
  }
  const std::shared_ptr<bool> alive = alive_;
  try {
    while (*alive && in_call_ && ProcessInput()) {
    }
  } catch (const net::HttpError& error) {
    FailCall(TargetFault::kConnectionLost, error.what());
  }
}

// Processes part of the input. Returns whether there may be more to process.
bool TargetConnection::ProcessInput() {
  const size_t consumed = reader_.FeedFrom(bufferevent_get_input(bufferevent_));
  if (consumed == 0) {
    return false;
  }
  const std::shared_ptr<bool> alive = alive_;
  if (reader_.head_done() && !head_delivered_ && !skipping_response_) {
    HandleHead();
  }
  if (*alive && in_call_ && head_delivered_) {
    std::string body = reader_.TakeBody();
    if (!body.empty()) {
      handlers_.on_data(std::move(body));
    }
  }
  if (*alive && in_call_ && skipping_response_) {
    SkipInput(consumed);
  }
  if (*alive && in_call_ && reader_.done()) {
    HandleEnd();
  }
  return *alive;
}

// Discards the part of a response that is not for the current call. Throws
// HttpError if the target sends so much of it that the response to the call is
// not to be expected.
void TargetConnection::SkipInput(size_t bytes) {
  reader_.TakeBody();
  skipped_bytes_ += bytes;
  if (skipped_bytes_ > kMaxSkippedBytes) {
    throw net::HttpError(kBadGateway,
                         "the target sent more than " +
                             std::to_string(kMaxSkippedBytes) +
                             " bytes that are no response to the request");
  }
}

void TargetConnection::HandleHead() {
  const net::HttpHead& head = reader_.head();
  if (head.status < kFirstStatus || head.status > kLastStatus) {
    throw net::HttpError(kBadGateway, "the target sent the status " +
                                          std::to_string(head.status) +
                                          ", which HTTP does not have");
  }
  if (head.status < kFirstFinalStatus) {
    skipping_response_ = true;  // interim response (1xx)
    return;
  }
  if (!BelongsToCall(head)) {
    skipping_response_ = true;
    not_reusable_ = true;
    return;
  }
  head_delivered_ = true;
  if (head.status >= kFirstFailure && !id_.empty()) {
    if (failed_ids_.size() == kMaxFailedIds) {
      failed_ids_.pop_front();
    }
    failed_ids_.push_back(id_);
  }
  handlers_.on_head(TargetHead{head.status, head.headers, head.length});
}

bool TargetConnection::BelongsToCall(const net::HttpHead& head) const {
  if (id_.empty()) {
    return true;
  }
  const std::string* id = FindHeader(head.headers, id_header_);
  if (id == nullptr) {
    // A target that could not parse the request cannot repeat its id. After an
    // earlier call the response may as well be another one to that call.
    return calls_ == 1 && head.status >= kFirstRedirect;
  }
  return *id == id_;
}

void TargetConnection::HandleEnd() {
  if (skipping_response_) {
    skipping_response_ = false;
    reader_.TakeBody();
    reader_.Next(kResponseLimits, method_ == "HEAD");
    return;
  }
  CompleteCall();
}

void TargetConnection::CompleteCall() {
  const bool unread =
      evbuffer_get_length(bufferevent_get_input(bufferevent_)) > 0;
  // If the target responded before it had received the whole request body, the
  // rest of the body is still to be sent, and no other request may follow.
  const bool unsent =
      evbuffer_get_length(bufferevent_get_output(bufferevent_)) > 0;
  const net::HttpHead& head = reader_.head();
  const bool reusable = head.keep_alive && !head.until_close && !unread &&
                        !unsent && !not_reusable_;
  in_call_ = false;
  idle_since_ = loop_.Now();
  // The copy stays valid if the handler destroys this connection.
  const auto on_end = handlers_.on_end;
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
  const bool ends = (what & BEV_EVENT_EOF) != 0 && head_delivered_ &&
                    reader_.head().until_close;
  if (!ends) {
    const int error = EVUTIL_SOCKET_ERROR();
    FailCall(
        connected_ ? TargetFault::kConnectionLost : TargetFault::kNotReached,
        (what & BEV_EVENT_EOF) != 0 ? "connection closed by the target"
                                    : evutil_socket_error_to_string(error));
    return;
  }
  try {
    reader_.FeedEnd();
  } catch (const net::HttpError& error) {
    FailCall(TargetFault::kConnectionLost, error.what());
    return;
  }
  CompleteCall();
}

void TargetConnection::FailCall(TargetFault fault, const std::string& why) {
  connect_timer_.Stop();
  if (!in_call_) {
    return;
  }
  in_call_ = false;
  // The copy stays valid if the handler destroys this connection.
  const auto on_fault = handlers_.on_fault;
  on_fault(fault, why);
}

}  // namespace ibisvalve::dataplane
