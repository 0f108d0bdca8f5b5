#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "wire/archive.h"

namespace ibisvalve::wire {

/// Message type of a frame. Each protocol has its own range: 1 to 63 mesh
/// (mesh_messages.h), 64 to 127 control (control_messages.h, claim_messages.h),
/// 128 to 159 gossip (gossip_messages.h).
using FrameType = uint8_t;

/// Version shared by all protocols between the system's own processes.
inline constexpr uint8_t kProtocolVersion = 1;

/// Size of a frame header in bytes: 'I', 'V', version and type (one byte each),
/// then the payload length (4 bytes, little endian).
inline constexpr size_t kFrameHeaderBytes = 8;

/// Default limit for the payload of a frame, in bytes.
inline constexpr size_t kMaxPayloadBytes = 4 << 20;

/// Header of a frame.
struct FrameHeader {
  FrameType type = 0;
  uint32_t length = 0;  // payload size in bytes

  auto operator<=>(const FrameHeader&) const = default;
};

/// Serializes `header` into kFrameHeaderBytes bytes.
std::string EncodeHeader(const FrameHeader& header);

/// Parses the header at the start of `bytes`; returns nullopt if there are
/// fewer than kFrameHeaderBytes. Throws WireError if the magic bytes or the
/// version are wrong or the payload is longer than `max_payload` bytes.
std::optional<FrameHeader> ParseHeader(std::string_view bytes,
                                       size_t max_payload = kMaxPayloadBytes);

/// Serializes `message` into a complete frame of type Message::kType.
template <typename Message>
std::string EncodeFrame(const Message& message) {
  std::string payload = Encode(message);
  return EncodeHeader(FrameHeader{Message::kType,
                                  static_cast<uint32_t>(payload.size())}) +
         payload;
}

}  // namespace ibisvalve::wire
