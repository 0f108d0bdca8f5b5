#include "dataplane/caller_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glog/logging.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "dataplane/http_headers.h"

namespace ibisvalve::dataplane {
namespace {

// Maximum number of pipelined requests that one connection serves at a time.
// Further requests stay unread, which applies backpressure to the caller.
constexpr size_t kMaxPipelinedRequests = 16;
// How long a closing connection reads and discards input after its last
// response (lingering close). An immediate close would reset the connection
// before the caller has read the response.
constexpr Duration kLingerTime = std::chrono::seconds(2);
// Reading from the socket stops above this many unread bytes while the maximum
// number of requests is being served.
constexpr size_t kMaxUnreadBytes = 64 << 10;
constexpr int kUnavailable = 503;

void DisableNagle(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

CallerConnection::CallerConnection(net::EventLoop& loop,
                                   int fd,
                                   const CallerLimits& limits,
                                   MemoryBudget& memory,
                                   Handlers handlers)
    : loop_(loop),
      limits_(limits),
      handlers_(std::move(handlers)),
      bufferevent_(
          bufferevent_socket_new(loop.base(), fd, BEV_OPT_CLOSE_ON_FREE)),
      reader_(net::HttpReader::Kind::kRequests, limits.http),
      memory_(memory),
      timer_(loop, [this] { OnTimeout(); }) {
  CHECK_NOTNULL(bufferevent_);
  DisableNagle(fd);
  bufferevent_setcb(
      bufferevent_,
      [](bufferevent*, void* argument) {
        static_cast<CallerConnection*>(argument)->OnReadable();
      },
      [](bufferevent*, void* argument) {
        static_cast<CallerConnection*>(argument)->OnWritable();
      },
      [](bufferevent*, int16_t what, void* argument) {
        static_cast<CallerConnection*>(argument)->OnEvent(what);
      },
      this);
  bufferevent_enable(bufferevent_, EV_READ | EV_WRITE);
  StartTimer();
}

CallerConnection::~CallerConnection() {
  *alive_ = false;
  if (bufferevent_ != nullptr) {
    bufferevent_free(bufferevent_);
  }
  for (const auto& slot : pipeline_) {
    if (slot->exchange != nullptr) {
      slot->exchange->connection_ = nullptr;
    }
  }
}

void CallerConnection::CloseIfIdle() {
  // A connection that was closed stays in the server until the event loop
  // removes it.
  const bool open = bufferevent_ != nullptr;
  if (open && pipeline_.empty() && !reader_.started()) {
    closing_ = true;
    ShutDownOrRead();
  }
}

bool CallerConnection::busy() const {
  if (bufferevent_ == nullptr || lingering_) {
    return false;
  }
  const bool receiving = reader_.started() && !closing_;
  const bool unsent =
      evbuffer_get_length(bufferevent_get_output(bufferevent_)) > 0;
  return receiving || unsent || !pipeline_.empty();
}

evbuffer* CallerConnection::output() {
  return bufferevent_get_output(bufferevent_);
}

// Closes the connection although a response is incomplete or missing, so that
// the caller can detect the failure.
void CallerConnection::Abort() {
  Close();
}

void CallerConnection::OnReadable() {
  if (lingering_) {
    evbuffer* input = bufferevent_get_input(bufferevent_);
    evbuffer_drain(input, evbuffer_get_length(input));
    return;
  }
  ReadRequests();
}

void CallerConnection::ReadRequests() {
  if (reading_) {
    return;  // re-entered from a request handler
  }
  reading_ = true;
  const std::shared_ptr<bool> alive = alive_;
  try {
    while (*alive && bufferevent_ != nullptr && ProcessInput()) {
    }
  } catch (const net::HttpError& error) {
    if (*alive && bufferevent_ != nullptr) {
      RejectRequest(error);
    }
  }
  if (!*alive) {
    return;
  }
  reading_ = false;
  StartTimer();
}

// Processes buffered input. Returns whether more of it may be processed.
bool CallerConnection::ProcessInput() {
  if (closing_ || pipeline_.size() >= kMaxPipelinedRequests) {
    const size_t unread =
        evbuffer_get_length(bufferevent_get_input(bufferevent_));
    if (unread > kMaxUnreadBytes) {
      bufferevent_disable(bufferevent_, EV_READ);
    }
    return false;
  }
  if (!reader_.started() && reader_.limits() != limits_.http) {
    reader_.Next(limits_.http);
  }
  if (reader_.FeedFrom(bufferevent_get_input(bufferevent_)) == 0) {
    return false;
  }
  body_ += reader_.TakeBody();
  ReserveBody();
  if (reader_.head_done() && !reader_.done()) {
    SendContinue();
  }
  if (reader_.done()) {
    DispatchRequest();
  }
  return true;
}

// Reserves memory for the declared length of the body, or for what has arrived
// of one without a length. Throws HttpError if there is not enough.
void CallerConnection::ReserveBody() {
  if (!reader_.head_done()) {
    return;
  }
  const uint64_t declared = reader_.head().length.value_or(0);
  const uint64_t needed = std::max<uint64_t>(declared, body_.size());
  if (!body_memory_.GrowTo(memory_, needed)) {
    throw net::HttpError(kUnavailable,
                         "too many bytes are held to receive the body");
  }
  body_.reserve(declared);
}

void CallerConnection::DispatchRequest() {
  CallerRequest request{reader_.head().method, reader_.head().target,
                        reader_.head().headers, std::exchange(body_, {})};
  const bool close = !reader_.head().keep_alive;
  reader_.Next(limits_.http);
  continue_handled_ = false;
  closing_ = closing_ || close;
  handlers_.on_request(
      AddExchange(std::move(request), close, std::move(body_memory_)));
}

std::shared_ptr<CallerExchange> CallerConnection::AddExchange(
    CallerRequest request,
    bool close,
    MemoryReservation memory) {
  auto slot = std::make_shared<ResponseSlot>();
  slot->close = close;
  pipeline_.push_back(slot);
  auto exchange = std::make_shared<CallerExchange>(
      *this, std::move(request), std::move(slot), std::move(memory));
  SendInOrder();  // the new slot may be at the front
  return exchange;
}

void CallerConnection::RejectRequest(const net::HttpError& error) {
  closing_ = true;
  std::string().swap(body_);
  body_memory_.Reset();
  // Of a request that could be read, the head is known.
  CallerRequest request;
  if (error.status() == kUnavailable) {
    request.method = reader_.head().method;
    request.uri = reader_.head().target;
    request.headers = reader_.head().headers;
  }
  handlers_.on_bad_request(*AddExchange(std::move(request), true), error);
}

// Sends "100 Continue" to a caller that holds back the body of its request
// until it gets that response.
void CallerConnection::SendContinue() {
  if (continue_handled_ || !pipeline_.empty()) {
    return;
  }
  continue_handled_ = true;
  const std::string* expected = FindHeader(reader_.head().headers, "Expect");
  if (expected != nullptr && HeaderNamesEqual(*expected, "100-continue")) {
    constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    evbuffer_add(output(), kContinue.data(), kContinue.size());
  }
}

// Moves the response of the first pending request to the output buffer, and
// continues with the next one as soon as the first is complete.
void CallerConnection::SendInOrder() {
  if (sending_ || bufferevent_ == nullptr) {
    return;
  }
  sending_ = true;
  bool completed = false;
  while (!pipeline_.empty()) {
    ResponseSlot& first = *pipeline_.front();
    if (!first.at_front) {
      first.at_front = true;
      evbuffer_add_buffer(output(), first.buffered);
    }
    if (!first.complete) {
      break;
    }
    completed = true;
    closing_ = closing_ || first.close;
    pipeline_.pop_front();
  }
  sending_ = false;
  if (completed) {
    bufferevent_enable(bufferevent_, EV_READ);
    loop_.Post([this, alive = alive_] {
      if (*alive && bufferevent_ != nullptr) {
        ShutDownOrRead();
      }
    });
  }
}

// Continues after a response is complete: shuts the connection down if it is
// closing, otherwise processes unread requests.
void CallerConnection::ShutDownOrRead() {
  const bool sent = evbuffer_get_length(output()) == 0;
  if (closing_ && pipeline_.empty()) {
    if (sent && !lingering_) {
      // The caller may still be sending. Closing only the sending side lets it
      // read the last response first.
      lingering_ = true;
      shutdown(bufferevent_getfd(bufferevent_), SHUT_WR);
      OnReadable();
      timer_.StartOnce(kLingerTime);
    }
    return;
  }
  ReadRequests();
}

void CallerConnection::OnWritable() {
  CallerExchange* first =
      pipeline_.empty() ? nullptr : pipeline_.front()->exchange;
  if (first != nullptr && first->on_sent_) {
    const auto sent = std::exchange(first->on_sent_, nullptr);
    sent();
    return;
  }
  if (closing_) {
    ShutDownOrRead();
  }
}

void CallerConnection::OnEvent(int16_t what) {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    Close();
  }
}

void CallerConnection::OnTimeout() {
  if (!pipeline_.empty()) {
    return;
  }
  if (reader_.started() && !lingering_ && !closing_) {
    RejectRequest(
        net::HttpError(408, "the request did not come whole in time"));
    return;
  }
  Close();
}

// Sets the one timer of the connection, which bounds either the request being
// read or the idle time between requests. While a request is being served, that
// request's own deadline applies and the timer is off.
void CallerConnection::StartTimer() {
  if (bufferevent_ == nullptr || lingering_) {
    return;
  }
  if (!pipeline_.empty()) {
    timer_.Stop();
    timing_request_ = false;
  } else if (!reader_.started()) {
    timer_.StartOnce(limits_.idle_timeout);
    timing_request_ = false;
  } else if (!timing_request_ || reader_.head_done()) {
    // The time-out covers the head as a whole but only the gaps between reads
    // of the body.
    timer_.StartOnce(limits_.header_timeout);
    timing_request_ = true;
  }
}

// Closes the socket. The disconnect handlers of pending exchanges and on_closed
// are called later, from the event loop.
void CallerConnection::Close() {
  if (bufferevent_ == nullptr) {
    return;
  }
  bufferevent_free(std::exchange(bufferevent_, nullptr));
  timer_.Stop();
  for (const auto& slot : std::exchange(pipeline_, {})) {
    if (slot->exchange == nullptr) {
      continue;
    }
    CallerExchange& exchange = *slot->exchange;
    exchange.connection_ = nullptr;
    exchange.on_sent_ = nullptr;
    if (const auto on_disconnect =
            std::exchange(exchange.on_disconnect_, nullptr)) {
      loop_.Post(on_disconnect);
    }
  }
  loop_.Post([alive = alive_, on_closed = handlers_.on_closed] {
    if (*alive) {
      on_closed();
    }
  });
}

}  // namespace ibisvalve::dataplane
