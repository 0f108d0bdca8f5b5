#include "dataplane/response_sender.h"

#include <algorithm>
#include <utility>

namespace ibisvalve::dataplane {
namespace {

constexpr size_t kMaxSlicedBufferBytes = 1 << 20;

}  // namespace

ResponseSender::ResponseSender(const AttemptId& id, Send send)
    : id_(id), send_(std::move(send)) {}

void ResponseSender::SetRunTiming(Duration ran, double slowdown) {
  head_.ran_us = static_cast<uint64_t>(ran.count());
  head_.slowdown_percent = wire::ToPercent(slowdown);
}

void ResponseSender::OnHead(uint16_t status,
                            wire::Headers headers,
                            std::optional<uint64_t> length) {
  status_ = status;
  head_.id = id_;
  head_.status = status;
  head_.headers = std::move(headers);
  head_.length = length;
  head_length_ = length.value_or(0);
}

void ResponseSender::OnData(std::string_view bytes) {
  if (discarding_) {
    return;
  }
  buffer_.append(bytes);
  received_bytes_ += bytes.size();
  const uint64_t expected = std::max(received_bytes_, head_.length.value_or(0));
  if (expected > kMaxBufferedResponseBytes) {
    SendAvailable();
  }
}

void ResponseSender::OnEnd(const wire::LoadHint& hint) {
  ended_ = true;
  if (discarding_) {
    finished_ = true;
    return;
  }
  head_.hint = hint;
  if (!head_sent_ && !head_.length) {
    head_.length = received_bytes_;
  }
  SendAvailable();
}

void ResponseSender::AddCredit(uint32_t bytes) {
  credit_ += bytes;
  if (head_sent_ && !finished_ && !discarding_) {
    SendAvailable();
  }
}

bool ResponseSender::wants_slice() const {
  return IsSliced() && !finished_ && !discarding_ && slice_ == 0 &&
         credit_ > 0 && offset_ < buffer_.size();
}

void ResponseSender::GrantSlice(uint64_t bytes) {
  slice_ = bytes;
  if (!finished_ && !discarding_) {
    SendAvailable();
  }
}

uint64_t ResponseSender::unsent_bytes() const {
  return std::max(received_bytes_, head_length_) - sent_bytes_;
}

// A response that fits into one frame is sent as a whole.
bool ResponseSender::IsSliced() const {
  return sliced_ && std::max(received_bytes_, head_length_) > kMaxPartBytes;
}

uint64_t ResponseSender::AllowedBytes() const {
  return IsSliced() ? std::min(credit_, slice_) : credit_;
}

void ResponseSender::Discard() {
  discarding_ = true;
  finished_ = ended_;
  std::string().swap(buffer_);
  offset_ = 0;
}

bool ResponseSender::can_buffer_more() const {
  return buffer_.size() - offset_ <=
         (IsSliced() ? kMaxSlicedBufferBytes : kMaxBufferedResponseBytes);
}

void ResponseSender::SendAvailable() {
  if (wants_slice()) {
    return;
  }
  if (!head_sent_) {
    SendHead();
  }
  while (!finished_ && AllowedBytes() > 0 && offset_ < buffer_.size()) {
    wire::AnswerPart part{id_, NextPart(), false};
    part.last = ended_ && offset_ == buffer_.size();
    finished_ = part.last;
    send_(part);
  }
  if (ended_ && !finished_ && offset_ == buffer_.size()) {
    finished_ = true;
    send_(wire::AnswerPart{id_, "", true});
  }
  if (offset_ == buffer_.size()) {
    std::string().swap(buffer_);
    offset_ = 0;
  }
}

void ResponseSender::SendHead() {
  head_sent_ = true;
  head_.body = NextPart();
  head_.complete = ended_ && offset_ == buffer_.size();
  finished_ = head_.complete;
  send_(std::exchange(head_, {}));
}

std::string ResponseSender::NextPart() {
  const size_t size = std::min<size_t>({buffer_.size() - offset_, kMaxPartBytes,
                                        static_cast<size_t>(AllowedBytes())});
  std::string part = buffer_.substr(offset_, size);
  offset_ += size;
  sent_bytes_ += size;
  credit_ -= size;
  slice_ -= std::min<uint64_t>(slice_, size);
  return part;
}

}  // namespace ibisvalve::dataplane
