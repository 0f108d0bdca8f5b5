#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "dataplane/gate_reply.h"
#include "wire/wire.h"

namespace ibisvalve::dataplane {

/// Cuts a target's answer into frames. A small answer is held until it is
/// whole; a larger one is sent as credit allows.
class AnswerSender {
 public:
  using Send = std::function<void(const GateReply& reply)>;

  /// Frames carry `id` and go to `send`.
  AnswerSender(const AttemptId& id, Send send);

  /// The target began to answer after `ran`, and had told `slowdown` (1 is
  /// usual) when it was sent the request.
  void SetRun(Duration ran, double slowdown);
  /// The answer starts.
  void OnHead(uint16_t status,
              wire::Headers headers,
              std::optional<uint64_t> length);
  /// More of its body has come.
  void OnData(std::string_view bytes);
  /// The answer is whole.
  void OnEnd(const wire::LoadHint& hint);
  /// The receiver takes `bytes` more.
  void AddCredit(uint32_t bytes);

  /// Nobody wants the answer any more: reads on to its end and sends nothing.
  void Discard();

  /// Returns whether a frame has been sent.
  bool started() const { return head_sent_; }
  /// Returns whether the answer has been sent to its end.
  bool finished() const { return finished_; }
  /// Returns whether more of the answer should be read from the target.
  bool wants_more() const;
  /// Returns the HTTP status of the answer.
  uint16_t status() const { return status_; }

 private:
  void Pump();
  void SendHead();
  std::string TakePart();

  AttemptId id_;
  Send send_;
  uint16_t status_ = 0;
  wire::AnswerHead head_;
  std::string buffer_;  // bytes not sent yet, from `offset_`
  size_t offset_ = 0;
  uint64_t total_ = 0;
  uint64_t credit_ = kInitialCredit;
  bool ended_ = false;
  bool discarding_ = false;
  bool head_sent_ = false;
  bool finished_ = false;
};

}  // namespace ibisvalve::dataplane
