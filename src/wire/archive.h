#pragma once

#include <cereal/cereal.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstring>
#include <stdexcept>
#include <string>
#include <string_view>

#include "base/base.h"

namespace ibisvalve::wire {

/// Thrown when received bytes are not a valid message.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// cereal output archive that appends to a string in little-endian byte order.
class OutArchive
    : public cereal::OutputArchive<OutArchive, cereal::AllowEmptyClassElision> {
 public:
  /// Appends to `out`, which must outlive the archive.
  explicit OutArchive(std::string& out) : OutputArchive(this), out_(out) {}
  /// Appends `size` raw bytes.
  void saveBinary(const void* data, size_t size) {  // NOLINT: cereal's name
    out_.append(static_cast<const char*>(data), size);
  }

 private:
  std::string& out_;
};

/// cereal input archive over received bytes. Checks each length prefix against
/// the number of unread bytes, so that malicious input cannot cause a larger
/// allocation.
class InArchive
    : public cereal::InputArchive<InArchive, cereal::AllowEmptyClassElision> {
 public:
  /// Reads `bytes`, which must outlive the archive.
  explicit InArchive(std::string_view bytes)
      : InputArchive(this), bytes_(bytes) {}
  /// Reads `size` raw bytes. Throws WireError if fewer remain.
  void loadBinary(void* data, size_t size) {  // NOLINT: cereal's name
    if (size > bytes_.size()) {
      throw WireError("message is truncated");
    }
    std::memcpy(data, bytes_.data(), size);
    bytes_.remove_prefix(size);
  }
  /// Returns the number of unread bytes.
  size_t remaining_bytes() const { return bytes_.size(); }

 private:
  std::string_view bytes_;
};

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_SAVE_FUNCTION_NAME(OutArchive& archive, const T& value) {
  archive.saveBinary(&value, sizeof(value));
}

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(InArchive& archive, T& value) {
  archive.loadBinary(&value, sizeof(value));
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(OutArchive& archive,
                               const cereal::BinaryData<T>& data) {
  archive.saveBinary(data.data, static_cast<size_t>(data.size));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(InArchive& archive,
                               cereal::BinaryData<T>& data) {
  archive.loadBinary(data.data, static_cast<size_t>(data.size));
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(OutArchive& archive,
                                    cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(InArchive& archive,
                                    cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(OutArchive& archive,
                               const cereal::SizeTag<T>& tag) {
  const auto size = static_cast<uint32_t>(tag.size);
  archive.saveBinary(&size, sizeof(size));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(InArchive& archive, cereal::SizeTag<T>& tag) {
  uint32_t size = 0;
  archive.loadBinary(&size, sizeof(size));
  // Each element takes at least one byte.
  if (size > archive.remaining_bytes()) {
    throw WireError("length prefix exceeds the remaining bytes of the message");
  }
  tag.size = size;
}

/// Serializes `message`.
template <typename Message>
std::string Encode(const Message& message) {
  std::string bytes;
  OutArchive archive(bytes);
  archive(message);
  return bytes;
}

/// Deserializes a message. Throws WireError unless `bytes` holds exactly one
/// valid message.
template <typename Message>
Message Decode(std::string_view bytes) {
  InArchive archive(bytes);
  Message message{};
  try {
    archive(message);
  } catch (const cereal::Exception& error) {
    throw WireError(error.what());
  }
  if (archive.remaining_bytes() != 0) {
    throw WireError("message is followed by trailing bytes");
  }
  return message;
}

}  // namespace ibisvalve::wire

CEREAL_REGISTER_ARCHIVE(ibisvalve::wire::OutArchive)
CEREAL_REGISTER_ARCHIVE(ibisvalve::wire::InArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(ibisvalve::wire::InArchive,
                            ibisvalve::wire::OutArchive)
