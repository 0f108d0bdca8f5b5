#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "wire/archive.h"

namespace ibisvalve::wire {

/// Kind of a frame. Each family of messages has its own range: 1 to 63 between
/// nodes (mesh_messages.h), 64 to 127 control (control_messages.h), 128 to 159
/// membership (gossip_messages.h).
using FrameType = uint8_t;

/// Version of all protocols between the system's own processes.
inline constexpr uint8_t kProtocolVersion = 1;

/// Bytes of a frame's header: 'I' 'V' version type, then the payload's length.
inline constexpr size_t kFrameHeaderBytes = 8;

/// Longest payload that a link takes by default, in bytes.
inline constexpr size_t kMaxPayloadBytes = 4 << 20;

/// The header of a frame.
struct FrameHeader {
  FrameType type = 0;
  uint32_t length = 0;  // bytes of the payload

  auto operator<=>(const FrameHeader&) const = default;
};

/// Returns the header as kFrameHeaderBytes bytes.
std::string EncodeHeader(const FrameHeader& header);

/// Parses the header at the start of `bytes`; returns nothing when more bytes
/// are needed. Throws WireError on a wrong magic, a wrong version, or a payload
/// longer than `max_payload`.
std::optional<FrameHeader> ParseHeader(std::string_view bytes,
                                       size_t max_payload = kMaxPayloadBytes);

/// Returns `message` as one whole frame. Its type is Message::kType.
template <typename Message>
std::string EncodeFrame(const Message& message) {
  std::string payload = Encode(message);
  return EncodeHeader(FrameHeader{Message::kType,
                                  static_cast<uint32_t>(payload.size())}) +
         payload;
}

}  // namespace ibisvalve::wire
