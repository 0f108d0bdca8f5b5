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

AnswerSlot::AnswerSlot() : held(evbuffer_new()) {}

AnswerSlot::~AnswerSlot() {
  evbuffer_free(held);
}

CallerExchange::CallerExchange(CallerConnection& connection,
                               CallerRequest request,
                               std::shared_ptr<AnswerSlot> slot)
    : connection_(&connection),
      request_(std::move(request)),
      slot_(std::move(slot)) {
  slot_->exchange = this;
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
                           std::string_view body,
                           bool close) {
  if (!open()) {
    return;
  }
  slot_->close = slot_->close || close || connection_->retiring();
  // An answer to HEAD says the length of what it leaves out.
  const bool head = request_.method == "HEAD";
  const bool no_body = head || status == 204 || status == 304;
  Put(net::ResponseHeadText(
      static_cast<uint16_t>(status), headers,
      no_body ? std::nullopt : std::optional<uint64_t>(body.size()),
      slot_->close));
  if (!no_body) {
    Put(body);
  }
  Finish();
}

void CallerExchange::Start(int status,
                           const wire::Headers& headers,
                           std::optional<uint64_t> length) {
  if (!open()) {
    return;
  }
  slot_->close = slot_->close || connection_->retiring();
  chunked_ = !length;
  Put(net::ResponseHeadText(static_cast<uint16_t>(status), headers, length,
                            slot_->close));
}

void CallerExchange::Write(std::string_view bytes,
                           std::function<void()> on_sent) {
  if (!open() || bytes.empty()) {
    return;
  }
  on_sent_ = std::move(on_sent);
  if (chunked_) {
    Put(ChunkHead(bytes.size()));
  }
  Put(bytes);
  if (chunked_) {
    Put("\r\n");
  }
}

void CallerExchange::End() {
  if (!open()) {
    return;
  }
  if (chunked_) {
    Put("0\r\n\r\n");
  }
  Finish();
}

void CallerExchange::Break() {
  if (open()) {
    connection_->Abort();
  }
}

void CallerExchange::Put(std::string_view bytes) {
  evbuffer* to = slot_->front ? connection_->output() : slot_->held;
  evbuffer_add(to, bytes.data(), bytes.size());
}

void CallerExchange::Finish() {
  CallerConnection* connection = std::exchange(connection_, nullptr);
  on_gone_ = nullptr;
  on_sent_ = nullptr;
  slot_->ended = true;
  slot_->exchange = nullptr;
  connection->SendInOrder();
}

}  // namespace ibisvalve::dataplane
