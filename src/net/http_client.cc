#include "net/http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glog/logging.h>

#include <memory>
#include <utility>

namespace ibisvalve::net {
namespace {

constexpr uint32_t kMaxHeaderBytes = 64 << 10;
constexpr char kTimedOut[] = "no response before the time-out";

struct Call {
  Call(EventLoop& event_loop, std::function<void(const HttpResult&)> on_done)
      : loop(event_loop),
        done(std::move(on_done)),
        limit_timer(loop, [this] { OnTimeLimit(); }) {}

  // Ends a call whose response keeps arriving, which evhttp's own time-outs,
  // for each read, do not.
  void OnTimeLimit();

  EventLoop& loop;
  std::function<void(const HttpResult&)> done;
  Timer limit_timer;
  evhttp_connection* connection = nullptr;
  evhttp_request* request = nullptr;
  std::string error = "cannot connect";  // until evhttp reports another one
};

evhttp_cmd_type CommandFor(const std::string& method) {
  if (method == "POST") {
    return EVHTTP_REQ_POST;
  }
  if (method == "DELETE") {
    return EVHTTP_REQ_DELETE;
  }
  return method == "PUT" ? EVHTTP_REQ_PUT : EVHTTP_REQ_GET;
}

const char* ErrorText(evhttp_request_error error) {
  switch (error) {
    case EVREQ_HTTP_TIMEOUT:
      return kTimedOut;
    case EVREQ_HTTP_EOF:
      return "the connection was closed before the response was complete";
    case EVREQ_HTTP_INVALID_HEADER:
      return "the response has a malformed header";
    case EVREQ_HTTP_DATA_TOO_LONG:
      return "the response exceeds the size limit";
    default:
      return "the connection failed";
  }
}

// Releases the call. evhttp does not allow freeing a connection inside its own
// callback.
void Finish(std::unique_ptr<Call> call, const HttpResult& result) {
  call->loop.Post(
      [connection = call->connection] { evhttp_connection_free(connection); });
  call->done(result);
}

void Call::OnTimeLimit() {
  std::unique_ptr<Call> self(this);
  evhttp_cancel_request(request);  // no callback follows
  Finish(std::move(self), HttpResult{0, "", kTimedOut});
}

void OnDone(evhttp_request* request, void* argument) {
  std::unique_ptr<Call> call(static_cast<Call*>(argument));
  HttpResult result;
  if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
    result.error = call->error;
  } else {
    result.status = evhttp_request_get_response_code(request);
    evbuffer* body = evhttp_request_get_input_buffer(request);
    result.body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, result.body.data(), result.body.size());
  }
  Finish(std::move(call), result);
}

}  // namespace

void FetchHttp(EventLoop& loop,
               const world::Endpoint& server,
               const std::string& method,
               const std::string& path_and_query,
               const std::string& body,
               Duration timeout,
               std::function<void(const HttpResult&)> done,
               uint32_t max_body_bytes) {
  evhttp_connection* connection = evhttp_connection_base_new(
      loop.base(), nullptr, server.ip.c_str(), server.port);
  CHECK_NOTNULL(connection);
  const timeval wait{static_cast<time_t>(timeout.count() / 1'000'000),
                     static_cast<suseconds_t>(timeout.count() % 1'000'000)};
  evhttp_connection_set_timeout_tv(connection, &wait);
  evhttp_connection_set_max_headers_size(connection, kMaxHeaderBytes);
  evhttp_connection_set_max_body_size(connection, max_body_bytes);
  // Bounds what evhttp does not, such as a chunk header without end.
  bufferevent_setwatermark(evhttp_connection_get_bufferevent(connection),
                           EV_READ, 0,
                           size_t{max_body_bytes} + kMaxHeaderBytes);
  auto* call = new Call(loop, std::move(done));
  evhttp_request* request = evhttp_request_new(OnDone, call);
  call->connection = connection;
  call->request = request;
  call->limit_timer.StartOnce(timeout);
  evhttp_request_set_error_cb(
      request, [](evhttp_request_error error, void* argument) {
        static_cast<Call*>(argument)->error = ErrorText(error);
      });
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", world::ToString(server).c_str());
  evhttp_add_header(headers, "Connection", "close");
  evbuffer_add(evhttp_request_get_output_buffer(request), body.data(),
               body.size());
  // On failure evhttp calls OnDone itself, so the result needs no handling
  // here.
  evhttp_make_request(connection, request, CommandFor(method),
                      path_and_query.c_str());
}

}  // namespace ibisvalve::net
