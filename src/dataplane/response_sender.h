#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "dataplane/gate_reply.h"
#include "wire/wire.h"

namespace ibisvalve::dataplane {

/// Splits a target's response into frames. A small response is buffered until
/// it is complete; a larger one is streamed as flow-control credit allows.
class ResponseSender {
 public:
  using Send = std::function<void(const GateReply& reply)>;

  /// Creates a sender whose frames carry `id` and are passed to `send`.
  ResponseSender(const AttemptId& id, Send send);

  /// Sets the time from sending the request to the head of the response
  /// (`ran`), and the slowdown that the target had last reported when the
  /// request was sent (1: none).
  void SetRunTiming(Duration ran, double slowdown);
  /// Handles the head of the response.
  void OnHead(uint16_t status,
              wire::Headers headers,
              std::optional<uint64_t> length);
  /// Handles a further part of the response's body.
  void OnData(std::string_view bytes);
  /// Handles the end of the response.
  void OnEnd(const wire::LoadHint& hint);
  /// Adds credit: the receiver accepts `bytes` more.
  void AddCredit(uint32_t bytes);

  /// Drops the rest of the response: it is still read to its end, but nothing
  /// more is sent.
  void Discard();

  /// Returns whether a frame has been sent.
  bool started() const { return head_sent_; }
  /// Returns whether the whole response has been sent, or discarded and read to
  /// its end.
  bool finished() const { return finished_; }
  /// Returns whether more of the response should be read from the target: at
  /// most kMaxBufferedResponseBytes of it are waiting to be sent.
  bool can_buffer_more() const;
  /// Returns the HTTP status of the response.
  uint16_t status() const { return status_; }

 private:
  void SendAvailable();
  void SendHead();
  std::string NextPart();

  AttemptId id_;
  Send send_;
  uint16_t status_ = 0;
  wire::AnswerHead head_;
  std::string buffer_;  // the bytes from `offset_` on have not been sent yet
  size_t offset_ = 0;
  uint64_t received_bytes_ = 0;  // bytes of the body received from the target
  uint64_t credit_ = kInitialCredit;
  bool ended_ = false;
  bool discarding_ = false;
  bool head_sent_ = false;
  bool finished_ = false;
};

}  // namespace ibisvalve::dataplane
