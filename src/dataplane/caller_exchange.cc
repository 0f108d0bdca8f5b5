#include "dataplane/caller_exchange.h"

#include <event2/buffer.h>

#include <array>
#include <charconv>
#include <utility>

#include "dataplane/caller_connection.h"

namespace ibisvalve::dataplane {
namespace {

constexpr int kHexadecimal = 16;

std::string ChunkHead(size_t bytes) {
  std::array<char, 24> text{};
  char* end =
      std::to_chars(text.data(), text.data() + text.size(), bytes, kHexadecimal)
          .ptr;
  return std::string(text.data(), end) + "\r\n";
}

}  // namespace

ResponseSlot::ResponseSlot() : buffered(evbuffer_new()) {}

ResponseSlot::~ResponseSlot() {
  evbuffer_free(buffered);
}

CallerExchange::CallerExchange(CallerConnection& connection,
                               CallerRequest request,
                               std::shared_ptr<ResponseSlot> slot,
                               MemoryReservation memory)
    : connection_(&connection),
      request_(std::move(request)),
      slot_(std::move(slot)),
      memory_(std::move(memory)) {
  slot_->exchange = this;
}

CallerExchange::~CallerExchange() {
  on_disconnect_ = nullptr;
  Abort();
}

void CallerExchange::SetOnDisconnect(std::function<void()> on_disconnect) {
  on_disconnect_ = std::move(on_disconnect);
}

void CallerExchange::Reply(int status,
                           const wire::Headers& headers,
                           std::string_view body,
                           bool close) {
  if (!open()) {
    return;
  }
  slot_->close = slot_->close || close || connection_->keep_alive_disabled();
  // For HEAD the caller of this method passes the Content-Length of the body
  // that is left out.
  const bool head = request_.method == "HEAD";
  const bool no_body = head || status == 204 || status == 304;
  Append(net::ResponseHeadText(
      static_cast<uint16_t>(status), headers,
      no_body ? std::nullopt : std::optional<uint64_t>(body.size()),
      slot_->close));
  if (!no_body) {
    Append(body);
  }
  Finish();
}

void CallerExchange::Start(int status,
                           const wire::Headers& headers,
                           std::optional<uint64_t> length) {
  if (!open()) {
    return;
  }
  slot_->close = slot_->close || connection_->keep_alive_disabled();
  chunked_ = !length;
  Append(net::ResponseHeadText(static_cast<uint16_t>(status), headers, length,
                               slot_->close));
}

void CallerExchange::Write(std::string_view bytes,
                           std::function<void()> on_sent) {
  if (!open() || bytes.empty()) {
    return;
  }
  on_sent_ = std::move(on_sent);
  if (chunked_) {
    Append(ChunkHead(bytes.size()));
  }
  Append(bytes);
  if (chunked_) {
    Append("\r\n");
  }
}

void CallerExchange::End() {
  if (!open()) {
    return;
  }
  if (chunked_) {
    Append("0\r\n\r\n");
  }
  Finish();
}

bool CallerExchange::Retract() {
  if (!open() || slot_->at_front) {
    return false;
  }
  evbuffer_drain(slot_->buffered, evbuffer_get_length(slot_->buffered));
  on_sent_ = nullptr;
  chunked_ = false;
  return true;
}

void CallerExchange::Abort() {
  if (open()) {
    connection_->Abort();
  }
}

void CallerExchange::Append(std::string_view bytes) {
  evbuffer* to = slot_->at_front ? connection_->output() : slot_->buffered;
  evbuffer_add(to, bytes.data(), bytes.size());
}

void CallerExchange::Finish() {
  CallerConnection* connection = std::exchange(connection_, nullptr);
  on_disconnect_ = nullptr;
  on_sent_ = nullptr;
  slot_->complete = true;
  slot_->exchange = nullptr;
  connection->SendInOrder();
}

}  // namespace ibisvalve::dataplane
