#include "dataplane/caller_exchange.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glog/logging.h>
#include <poll.h>

#include <utility>

#include "dataplane/http_headers.h"

namespace ibisvalve::dataplane {
namespace {

CallerRequest Parse(evhttp_request* request) {
  CallerRequest parsed;
  parsed.method = net::MethodName(request);
  parsed.uri = evhttp_request_get_uri(request);
  parsed.headers = AllHeaders(evhttp_request_get_input_headers(request));
  evbuffer* body = evhttp_request_get_input_buffer(request);
  parsed.body.resize(evbuffer_get_length(body));
  evbuffer_remove(body, parsed.body.data(), parsed.body.size());
  return parsed;
}

// A connection that is to be freed from the loop, unless evhttp does it first.
struct PendingBreak {
  evhttp_connection* connection;  // null once evhttp has closed it
  evhttp_request* request;
};

void OnClosedBeforeBreak(evhttp_connection*, void* argument) {
  auto* pending = static_cast<PendingBreak*>(argument);
  pending->connection = nullptr;
  // A request that evhttp cut from its connection is left to its user to free.
  if (evhttp_request_get_connection(pending->request) == nullptr) {
    evhttp_request_free(pending->request);
  }
}

}  // namespace

CallerExchange::CallerExchange(net::EventLoop& loop,
                               evhttp_request* request,
                               std::function<void(CallerExchange*)> on_over)
    : loop_(loop),
      evhttp_request_(request),
      connection_(evhttp_request_get_connection(request)),
      on_over_(std::move(on_over)),
      request_(Parse(request)) {
  evhttp_connection_set_closecb(
      connection_,
      [](evhttp_connection*, void* argument) {
        static_cast<CallerExchange*>(argument)->OnConnectionClosed();
      },
      this);
  const int fd =
      bufferevent_getfd(evhttp_connection_get_bufferevent(connection_));
  closed_event_ = event_new(
      loop_.base(), fd, EV_CLOSED,
      [](evutil_socket_t, int16_t, void* argument) {
        static_cast<CallerExchange*>(argument)->Gone();
      },
      this);
  CHECK_NOTNULL(closed_event_);
  event_add(closed_event_, nullptr);
}

CallerExchange::~CallerExchange() {
  on_gone_ = nullptr;
  Break();
}

void CallerExchange::DropBody() {
  std::string().swap(request_.body);
}

void CallerExchange::SetOnGone(std::function<void()> on_gone) {
  on_gone_ = std::move(on_gone);
}

void CallerExchange::Reply(int status,
                           const wire::Headers& headers,
                           std::string_view body) {
  if (!open()) {
    return;
  }
  evhttp_request* request = evhttp_request_;
  AddHeaders(headers);
  evbuffer* output = evhttp_request_get_output_buffer(request);
  evbuffer_add(output, body.data(), body.size());
  Release();
  evhttp_send_reply(request, status, nullptr, nullptr);
}

void CallerExchange::Start(int status,
                           const wire::Headers& headers,
                           std::optional<uint64_t> length) {
  if (!open()) {
    return;
  }
  AddHeaders(headers);
  if (length) {
    evhttp_add_header(evhttp_request_get_output_headers(evhttp_request_),
                      "Content-Length", std::to_string(*length).c_str());
  }
  evhttp_send_reply_start(evhttp_request_, status, nullptr);
}

void CallerExchange::Write(std::string_view bytes,
                           std::function<void()> on_sent) {
  if (!open()) {
    return;
  }
  on_sent_ = std::move(on_sent);
  evbuffer* part = evbuffer_new();
  evbuffer_add(part, bytes.data(), bytes.size());
  evhttp_send_reply_chunk_with_cb(
      evhttp_request_, part,
      [](evhttp_connection*, void* argument) {
        auto* exchange = static_cast<CallerExchange*>(argument);
        const auto sent = std::exchange(exchange->on_sent_, nullptr);
        if (sent) {
          sent();
        }
      },
      this);
  evbuffer_free(part);
}

void CallerExchange::End() {
  if (!open()) {
    return;
  }
  evhttp_request* request = evhttp_request_;
  Release();
  evhttp_send_reply_end(request);
}

void CallerExchange::Break() {
  if (!open()) {
    return;
  }
  auto pending = std::make_shared<PendingBreak>(
      PendingBreak{connection_, evhttp_request_});
  Release();
  evhttp_connection_set_closecb(pending->connection, OnClosedBeforeBreak,
                                pending.get());
  // Not from here: evhttp may be in the middle of this connection.
  loop_.Post([pending] {
    if (pending->connection != nullptr) {
      evhttp_connection_set_closecb(pending->connection, nullptr, nullptr);
      evhttp_connection_free(pending->connection);
    }
  });
}

void CallerExchange::CheckForReset() {
  if (!open()) {
    return;
  }
  pollfd state{
      bufferevent_getfd(evhttp_connection_get_bufferevent(connection_)), 0, 0};
  if (poll(&state, 1, 0) > 0 && (state.revents & (POLLERR | POLLHUP)) != 0) {
    Gone();
  }
}

void CallerExchange::AddHeaders(const wire::Headers& headers) {
  evkeyvalq* output = evhttp_request_get_output_headers(evhttp_request_);
  for (const auto& [name, value] : headers) {
    evhttp_add_header(output, name.c_str(), value.c_str());
  }
}

void CallerExchange::Release() {
  evhttp_request_ = nullptr;
  on_sent_ = nullptr;
  if (closed_event_ != nullptr) {
    event_free(std::exchange(closed_event_, nullptr));
  }
  if (connection_ != nullptr) {
    evhttp_connection_set_closecb(std::exchange(connection_, nullptr), nullptr,
                                  nullptr);
  }
  on_over_(this);
}

void CallerExchange::OnConnectionClosed() {
  // A request that evhttp cut from its connection is left to its user to free;
  // otherwise it is freed with the connection.
  evhttp_request* request = evhttp_request_;
  const auto on_gone = std::exchange(on_gone_, nullptr);
  const bool ours = evhttp_request_get_connection(request) == nullptr;
  Release();
  if (ours) {
    evhttp_request_free(request);
  }
  if (on_gone) {
    loop_.Post(on_gone);
  }
}

void CallerExchange::Gone() {
  const auto on_gone = std::exchange(on_gone_, nullptr);
  Break();
  if (on_gone) {
    on_gone();
  }
}

}  // namespace ibisvalve::dataplane
