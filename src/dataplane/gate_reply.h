#pragma once

#include <cstdint>
#include <functional>
#include <variant>

#include "wire/wire.h"

namespace ibisvalve::dataplane {

/// Everything that a gate sends to an ingress about one attempt.
using GateReply = std::variant<wire::AnswerHead,
                               wire::AnswerPart,
                               wire::AttemptFailed,
                               wire::AttemptRunning,
                               wire::Credit>;

/// Most bytes of a body or an answer in one frame, so that a large transfer
/// does not delay the frames of others.
inline constexpr size_t kPartBytes = 16 << 10;

/// Bytes that the sender of a body or an answer may send before its receiver
/// gives credit.
inline constexpr uint32_t kInitialCredit = 128 << 10;

/// Largest answer, in bytes, that is held until it is whole.
inline constexpr size_t kHeldAnswerBytes = 64 << 10;

/// Deepest chain of calls: a caller's request has depth 0.
inline constexpr uint64_t kMaxDepth = 7;

/// Way back to the ingress of an attempt.
struct ReplyPort {
  uint64_t link = 0;  // 0: the ingress of this node
  std::function<void(const GateReply& reply)> send;
};

}  // namespace ibisvalve::dataplane
