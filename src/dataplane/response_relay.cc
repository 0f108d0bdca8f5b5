#include "dataplane/response_relay.h"

#include <utility>

#include "dataplane/gate_reply.h"

namespace ibisvalve::dataplane {

ResponseRelay::ResponseRelay(std::shared_ptr<CallerExchange> exchange,
                             Handlers handlers)
    : exchange_(std::move(exchange)), handlers_(std::move(handlers)) {}

bool ResponseRelay::OnHead(wire::AnswerHead head) {
  if (head_received_) {
    throw wire::WireError("received a second response head for one attempt");
  }
  head_received_ = true;
  buffered_ = std::move(head.body);
  received_bytes_ = buffered_.size();
  head_ = std::move(head);
  return Advance(head_.complete);
}

bool ResponseRelay::OnPart(const wire::AnswerPart& part) {
  if (!head_received_) {
    throw wire::WireError("received a response part before the response head");
  }
  buffered_ += part.bytes;
  received_bytes_ += part.bytes.size();
  return Advance(part.last);
}

void ResponseRelay::Restart() {
  head_received_ = false;
  buffered_.clear();
  received_bytes_ = 0;
}

bool ResponseRelay::Advance(bool last) {
  CheckLength(last);
  const bool small = head_.length && *head_.length <= kMaxBufferedResponseBytes;
  if (!committed_ && last) {
    SendWhole();
    return true;
  }
  if (committed_ || (!small && !HasNoBody())) {
    Flush();
    if (last) {
      exchange_->End();
    }
  }
  return last;
}

void ResponseRelay::CheckLength(bool last) const {
  if (!head_.length || HasNoBody()) {
    return;
  }
  if (received_bytes_ > *head_.length ||
      (last && received_bytes_ != *head_.length)) {
    throw wire::WireError(
        "the response body does not match its declared length");
  }
}

bool ResponseRelay::HasNoBody() const {
  return exchange_->request().method == "HEAD" || head_.status == 204 ||
         head_.status == 304;
}

void ResponseRelay::SendWhole() {
  wire::Headers headers = handlers_.outcome_headers();
  headers.insert(headers.end(), head_.headers.begin(), head_.headers.end());
  if (exchange_->request().method == "HEAD" && head_.length) {
    headers.emplace_back("Content-Length", std::to_string(*head_.length));
  }
  handlers_.on_committed();
  committed_ = true;
  exchange_->Reply(head_.status, headers, buffered_);
}

void ResponseRelay::Flush() {
  if (!committed_) {
    committed_ = true;
    wire::Headers headers = handlers_.outcome_headers();
    headers.insert(headers.end(), head_.headers.begin(), head_.headers.end());
    handlers_.on_committed();
    exchange_->Start(head_.status, headers, head_.length);
  }
  if (buffered_.empty()) {
    return;
  }
  // The connection reports only that its whole output buffer has been sent, so
  // the bytes of several parts are acknowledged together.
  *unsent_bytes_ += static_cast<uint32_t>(buffered_.size());
  exchange_->Write(buffered_,
                   [unsent_bytes = unsent_bytes_, on_sent = handlers_.on_sent] {
                     on_sent(std::exchange(*unsent_bytes, 0));
                   });
  buffered_.clear();
}

}  // namespace ibisvalve::dataplane
