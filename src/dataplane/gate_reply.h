#pragma once

#include <cstdint>
#include <functional>
#include <variant>

#include "wire/wire.h"

namespace ibisvalve::dataplane {

/// Message of a gate to an ingress about one attempt.
using GateReply = std::variant<wire::AnswerHead,
                               wire::AnswerPart,
                               wire::AttemptFailed,
                               wire::AttemptRunning,
                               wire::Credit>;

/// Maximum bytes of a body or a response in one frame, so that a large transfer
/// does not delay the frames of other attempts on the link.
inline constexpr size_t kMaxPartBytes = 16 << 10;

/// Bytes of a response that may be sent before the ingress grants credit.
inline constexpr uint32_t kInitialCredit = 128 << 10;

/// Bytes of a larger body than kMaxPartBytes that are sent with the request,
/// and in total before the gate grants credit. The part in between makes gates
/// that grant credit only for received parts start to grant.
inline constexpr size_t kFirstBodyBytes = 2 << 10;
inline constexpr size_t kUnsolicitedBodyBytes = 4 << 10;

/// Largest response, in bytes, that is buffered until it is complete and then
/// stored.
inline constexpr size_t kMaxBufferedResponseBytes = 64 << 10;

/// Maximum depth of a chain of calls. A caller's own request has depth 0.
inline constexpr uint64_t kMaxCallDepth = 7;

/// Reply channel to the ingress of an attempt.
struct ReplyPort {
  uint64_t link = 0;  // number of the mesh link; 0: ingress of this node
  std::function<void(const GateReply& reply)> send;
};

}  // namespace ibisvalve::dataplane
