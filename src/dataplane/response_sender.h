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

  /// Makes a large response wait for GrantSlice before each slice.
  void SetSliced() { sliced_ = true; }
  /// Returns whether the next part of the response waits for GrantSlice.
  bool wants_slice() const;
  /// Sends up to `bytes` more of a large response.
  void GrantSlice(uint64_t bytes);
  /// Returns the number of known bytes of the body that have not been sent.
  uint64_t unsent_bytes() const;

  /// Drops the rest of the response: it is still read to its end, but nothing
  /// more is sent.
  void Discard();

  /// Returns whether a frame has been sent.
  bool started() const { return head_sent_; }
  /// Returns whether the whole response has been sent, or discarded and read to
  /// its end.
  bool finished() const { return finished_; }
  /// Returns whether more of the response should be read from the target: at
  /// most kMaxBufferedResponseBytes of it are waiting to be sent, or 1 MiB of
  /// one that is sent in slices, so that it does not hold its slot meanwhile.
  bool can_buffer_more() const;
  /// Returns the HTTP status of the response.
  uint16_t status() const { return status_; }

 private:
  bool IsSliced() const;
  uint64_t AllowedBytes() const;
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
  uint64_t head_length_ = 0;     // declared length of the body; 0: not known
  uint64_t sent_bytes_ = 0;      // bytes of the body sent
  uint64_t credit_ = kInitialCredit;
  uint64_t slice_ = 0;  // bytes that may be sent if the response is sliced
  bool sliced_ = false;
  bool ended_ = false;
  bool discarding_ = false;
  bool head_sent_ = false;
  bool finished_ = false;
};

}  // namespace ibisvalve::dataplane
