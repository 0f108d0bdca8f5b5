#include "bench/target/run.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glog/logging.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/base.h"
#include "bench/target/http_text.h"

namespace ibisvalve::bench {
namespace {

constexpr uint64_t kPieceBytes = 64 << 10;
constexpr int kClientClosedRequest = 499;

RequestFields FieldsOf(evhttp_request* request) {
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
  const char* path = evhttp_uri_get_path(uri);
  const char* query = evhttp_uri_get_query(uri);
  RequestFields fields;
  fields.method = net::MethodName(request);
  fields.path = path == nullptr || *path == '\0' ? "/" : path;
  fields.query = query == nullptr ? "" : query;
  fields.name = FindHeader(request, "X-Request-Name");
  fields.run = FindHeader(request, "Ibis-Run-Id");
  if (fields.run.empty()) {
    fields.run = fields.path;
  }
  fields.key = FindHeader(request, "Idempotency-Key");
  return fields;
}

uint64_t NumberOr(const std::string& text, uint64_t otherwise) {
  return text.empty() ? otherwise
                      : std::strtoull(text.c_str(), nullptr, /*base=*/10);
}

}  // namespace

Run::Run(net::EventLoop& loop, evhttp_request* request, Ended on_ended)
    : loop_(loop),
      request_(request),
      connection_(evhttp_request_get_connection(request)),
      on_ended_(std::move(on_ended)),
      fields_(FieldsOf(request)),
      timer_(loop, [this] { Respond(); }) {
  evhttp_connection_set_closecb(
      connection_,
      [](evhttp_connection*, void* argument) {
        auto* run = static_cast<Run*>(argument);
        run->request_ = nullptr;
        run->End("cancelled");
      },
      this);
  const evutil_socket_t fd =
      bufferevent_getfd(evhttp_connection_get_bufferevent(connection_));
  disconnect_event_ = event_new(
      loop_.base(), fd, EV_CLOSED,
      [](evutil_socket_t, int16_t, void* argument) {
        static_cast<Run*>(argument)->OnDisconnect();
      },
      this);
  CHECK_NOTNULL(disconnect_event_);
  event_add(disconnect_event_, nullptr);
}

Run::~Run() {
  if (disconnect_event_ != nullptr) {
    event_free(disconnect_event_);
  }
  if (request_ != nullptr) {
    evhttp_connection_set_closecb(connection_, nullptr, nullptr);
  }
}

void Run::Start(Duration service_time, const std::string& target) {
  CHECK(!started_);
  started_ = true;
  target_ = target;
  timer_.StartOnce(service_time);
}

void Run::Refuse() {
  CHECK(!started_);
  started_ = true;
  evhttp_request* request = std::exchange(request_, nullptr);
  evhttp_connection_set_closecb(connection_, nullptr, nullptr);
  End("500");
  ReplyText(request, HTTP_INTERNAL, "text/plain", "refused\n");
}

void Run::Respond() {
  evkeyvalq* headers = evhttp_request_get_output_headers(request_);
  evhttp_add_header(headers, "X-Target", target_.c_str());
  if (!fields_.name.empty()) {
    evhttp_add_header(headers, "X-Request-Name", fields_.name.c_str());
  }
  if (fields_.path == "/bytes") {
    StartBytes();
  } else {
    RespondWithJson();
  }
}

void Run::RespondWithJson() {
  nlohmann::json answer = {{"request", fields_.method + " " + fields_.path},
                           {"method", fields_.method},
                           {"path", fields_.path},
                           {"name", fields_.name},
                           {"run", fields_.run},
                           {"target", target_}};
  if (fields_.path == "/echo") {
    const std::string body = ReadBody(request_);
    answer["digest"] = ToHex(DigestOf(body));
    answer["size"] = body.size();
  }
  evhttp_request* request = std::exchange(request_, nullptr);
  evhttp_connection_set_closecb(connection_, nullptr, nullptr);
  // Logs the end before sending the response, so that every response that a
  // caller received is in the log.
  End("200");
  ReplyText(request, HTTP_OK, "application/json", answer.dump());
}

void Run::StartBytes() {
  const uint64_t size = NumberOr(QueryValue(fields_.query, "size"), 0);
  const uint64_t seed = NumberOr(QueryValue(fields_.query, "seed"), 1);
  bytes_until_cut_ = NumberOr(QueryValue(fields_.query, "cut"), size + 1);
  bytes_ = std::make_unique<ByteStream>(seed);
  bytes_left_ = size;
  evkeyvalq* headers = evhttp_request_get_output_headers(request_);
  evhttp_add_header(headers, "Content-Type", "application/octet-stream");
  // Without Content-Length, evhttp uses chunked transfer encoding.
  if (QueryValue(fields_.query, "chunked").empty()) {
    evhttp_add_header(headers, "Content-Length", std::to_string(size).c_str());
  }
  evhttp_send_reply_start(request_, HTTP_OK, "OK");
  SendBytes();
}

void Run::SendBytes() {
  const uint64_t size = std::min({kPieceBytes, bytes_left_, bytes_until_cut_});
  if (size > 0) {
    bytes_left_ -= size;
    bytes_until_cut_ -= size;
    evbuffer* piece = evbuffer_new();
    const std::string text = bytes_->Next(size);
    evbuffer_add(piece, text.data(), text.size());
    evhttp_send_reply_chunk_with_cb(
        request_, piece,
        [](evhttp_connection*, void* argument) {
          static_cast<Run*>(argument)->SendBytes();
        },
        this);
    evbuffer_free(piece);
    return;
  }
  evhttp_request* request = std::exchange(request_, nullptr);
  evhttp_connection_set_closecb(connection_, nullptr, nullptr);
  const bool cut = bytes_left_ > 0;
  if (cut) {
    shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(connection_)),
             SHUT_RDWR);
  }
  End(cut ? "cut" : "200");
  evhttp_send_reply_end(request);
}

void Run::OnDisconnect() {
  if (bytes_ != nullptr) {
    return;  // the next write fails and closes the connection
  }
  evhttp_request* request = std::exchange(request_, nullptr);
  evhttp_connection_set_closecb(connection_, nullptr, nullptr);
  End("cancelled");
  evhttp_send_error(request, kClientClosedRequest, "Client Closed Request");
}

void Run::End(const std::string& status) {
  timer_.Stop();
  if (disconnect_event_ != nullptr) {
    event_free(std::exchange(disconnect_event_, nullptr));
  }
  on_ended_(this, status);  // destroys this
}

}  // namespace ibisvalve::bench
