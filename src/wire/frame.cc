#include "wire/frame.h"

namespace ibisvalve::wire {
namespace {

constexpr char kMagic[2] = {'I', 'V'};

}  // namespace

std::string EncodeHeader(const FrameHeader& header) {
  std::string bytes(kFrameHeaderBytes, '\0');
  bytes[0] = kMagic[0];
  bytes[1] = kMagic[1];
  bytes[2] = static_cast<char>(kProtocolVersion);
  bytes[3] = static_cast<char>(header.type);
  for (size_t i = 0; i < sizeof(header.length); ++i) {
    bytes[4 + i] = static_cast<char>(header.length >> (8 * i) & 0xFF);
  }
  return bytes;
}

std::optional<FrameHeader> ParseHeader(std::string_view bytes,
                                       size_t max_payload) {
  if (bytes.size() < kFrameHeaderBytes) {
    return std::nullopt;
  }
  if (bytes[0] != kMagic[0] || bytes[1] != kMagic[1]) {
    throw WireError("not a frame of this protocol");
  }
  if (static_cast<uint8_t>(bytes[2]) != kProtocolVersion) {
    throw WireError("frame header has protocol version " +
                    std::to_string(static_cast<uint8_t>(bytes[2])) +
                    ", which is not supported");
  }
  FrameHeader header{static_cast<FrameType>(bytes[3]), 0};
  for (size_t i = 0; i < sizeof(header.length); ++i) {
    header.length |= static_cast<uint32_t>(static_cast<uint8_t>(bytes[4 + i]))
                     << (8 * i);
  }
  if (header.length > max_payload) {
    throw WireError("frame payload of " + std::to_string(header.length) +
                    " bytes exceeds the limit of " +
                    std::to_string(max_payload));
  }
  return header;
}

}  // namespace ibisvalve::wire
