#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "dataplane/caller_exchange.h"
#include "wire/wire.h"

namespace ibisvalve::dataplane {

/// Reassembles the response of one attempt from its mesh frames and forwards it
/// to the caller. A response that is complete in its first frame, or whose
/// declared length is at most kMaxBufferedResponseBytes, is sent as a whole;
/// any other is streamed.
class ResponseRelay {
 public:
  struct Handlers {
    /// Returns the headers that report the outcome of the request.
    std::function<wire::Headers()> outcome_headers;
    /// Called when `bytes` of the body have left the caller's output buffer.
    std::function<void(uint32_t bytes)> on_sent;
    /// Called right before the first byte of the response is sent. From then on
    /// no other attempt may respond to the caller.
    std::function<void()> on_committed;
  };

  ResponseRelay(std::shared_ptr<CallerExchange> exchange, Handlers handlers);

  /// Processes the first frame or a later part of the response. Returns true
  /// once the complete response has been handed to the caller's connection.
  /// Throws WireError on a frame that is out of sequence or contradicts the
  /// declared length.
  bool OnHead(wire::AnswerHead head);
  bool OnPart(const wire::AnswerPart& part);
  /// Discards the buffered data, because the gate will send the response again
  /// from the start.
  void Restart();

  /// Returns whether part of the response has been sent to the caller.
  bool committed() const { return committed_; }
  /// Returns whether bytes of the response wait for the caller to read.
  bool waits_for_caller() const { return *unsent_bytes_ > 0; }
  uint16_t status() const { return head_.status; }
  /// Returns the number of body bytes received so far.
  uint64_t received_bytes() const { return received_bytes_; }

 private:
  bool Advance(bool last);
  void CheckLength(bool last) const;
  bool HasNoBody() const;
  void SendWhole();
  void Flush();

  std::shared_ptr<CallerExchange> exchange_;
  Handlers handlers_;
  wire::AnswerHead head_;
  bool head_received_ = false;
  std::string buffered_;
  uint64_t received_bytes_ = 0;
  bool committed_ = false;
  std::shared_ptr<uint32_t> unsent_bytes_ = std::make_shared<uint32_t>(0);
};

}  // namespace ibisvalve::dataplane
