#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "dataplane/caller_exchange.h"
#include "wire/wire.h"

namespace ibisvalve::dataplane {

/// Collects the frames of one attempt's answer. A small answer is handed over
/// whole; a larger one is passed on to the caller as it comes.
class AnswerRelay {
 public:
  struct Handlers {
    /// Returns the headers that tell the caller what became of its request.
    std::function<wire::Headers()> outcome_headers;
    /// The caller's connection has taken `bytes`.
    std::function<void(uint32_t bytes)> on_taken;
    /// The answer goes to the caller from now on: no other attempt may.
    std::function<void()> on_committed;
  };

  AnswerRelay(std::shared_ptr<CallerExchange> exchange, Handlers handlers);

  /// Takes the first frame, or a part; returns true when the whole answer has
  /// been handed to the caller's connection. Throws WireError on a frame that
  /// does not fit the answer.
  bool OnHead(wire::AnswerHead head);
  bool OnPart(const wire::AnswerPart& part);
  /// Forgets what was held, because the answer will be sent again.
  void Restart();

  /// Returns whether the caller has been sent part of the answer.
  bool committed() const { return committed_; }
  uint16_t status() const { return head_.status; }
  /// Returns the bytes of the body so far.
  uint64_t received() const { return received_; }

 private:
  bool Continue(bool last);
  void CheckLength(bool last) const;
  bool HasNoBody() const;
  void ReplyWhole();
  void Flush();

  std::shared_ptr<CallerExchange> exchange_;
  Handlers handlers_;
  wire::AnswerHead head_;
  bool head_seen_ = false;
  std::string held_;
  uint64_t received_ = 0;
  bool committed_ = false;
  std::shared_ptr<uint32_t> untaken_ = std::make_shared<uint32_t>(0);
};

}  // namespace ibisvalve::dataplane
