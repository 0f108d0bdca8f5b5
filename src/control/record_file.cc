#include "control/record_file.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>

#include "base/base.h"

namespace ibisvalve::control {
namespace {

constexpr size_t kLengthBytes = 4;
constexpr size_t kTypeBytes = 1;
constexpr size_t kHeaderChecksumBytes = 7;
constexpr size_t kHeaderBytes =
    kLengthBytes + kTypeBytes + kHeaderChecksumBytes;
constexpr size_t kPayloadChecksumBytes = 8;
constexpr char kEndByte = '\xA5';
static_assert(kRecordOverheadBytes == kHeaderBytes + kPayloadChecksumBytes + 1);

template <typename Number>
std::string EncodeLittleEndian(Number number, size_t count) {
  std::string bytes(count, '\0');
  for (size_t i = 0; i < count; ++i) {
    bytes[i] = static_cast<char>(number >> (8 * i) & 0xFF);
  }
  return bytes;
}

uint64_t DecodeLittleEndian(std::string_view bytes) {
  uint64_t number = 0;
  for (size_t i = 0; i < bytes.size(); ++i) {
    number |= static_cast<uint64_t>(static_cast<uint8_t>(bytes[i])) << (8 * i);
  }
  return number;
}

std::string ChecksumBytes(std::string_view bytes, size_t count) {
  return EncodeLittleEndian(XXH3_64bits(bytes.data(), bytes.size()), count);
}

[[noreturn]] void ThrowCorruptRecord(const std::string& file, size_t offset) {
  throw InvalidInput(
      {Finding{Place{file, 0, 0, "byte " + std::to_string(offset)},
               "record checksum mismatch: synced data is corrupt",
               "move the data directory away and start this keeper with an "
               "empty one; it rejoins the group as a learner"}});
}

// Returns whether the last byte is zero, which a complete record never has
// there. After a crash the file may end in zeros, because the file system may
// extend a file before it writes the data.
bool EndsInZero(std::string_view bytes) {
  return bytes.back() == '\0';
}

}  // namespace

void AppendRecord(std::string& bytes,
                  RecordType type,
                  std::string_view payload) {
  std::string header = EncodeLittleEndian(payload.size(), kLengthBytes);
  header += static_cast<char>(type);
  bytes += header;
  bytes += ChecksumBytes(header, kHeaderChecksumBytes);
  bytes += payload;
  bytes += ChecksumBytes(payload, kPayloadChecksumBytes);
  bytes += kEndByte;
}

RecordScan ScanRecords(std::string_view bytes, const std::string& file) {
  RecordScan scan;
  while (scan.valid_bytes < bytes.size()) {
    const std::string_view remaining = bytes.substr(scan.valid_bytes);
    scan.torn = true;
    if (remaining.size() < kHeaderBytes) {
      return scan;
    }
    const std::string_view header =
        remaining.substr(0, kLengthBytes + kTypeBytes);
    if (ChecksumBytes(header, kHeaderChecksumBytes) !=
        remaining.substr(header.size(), kHeaderChecksumBytes)) {
      if (EndsInZero(remaining)) {
        return scan;
      }
      ThrowCorruptRecord(file, scan.valid_bytes);
    }
    const size_t length = DecodeLittleEndian(header.substr(0, kLengthBytes));
    if (remaining.size() < length + kRecordOverheadBytes) {
      return scan;
    }
    const std::string_view payload = remaining.substr(kHeaderBytes, length);
    const std::string_view checksum =
        remaining.substr(kHeaderBytes + length, kPayloadChecksumBytes);
    if (ChecksumBytes(payload, kPayloadChecksumBytes) != checksum ||
        remaining[length + kRecordOverheadBytes - 1] != kEndByte) {
      if (EndsInZero(remaining)) {
        return scan;
      }
      ThrowCorruptRecord(file, scan.valid_bytes);
    }
    scan.records.push_back(Record{static_cast<RecordType>(header[kLengthBytes]),
                                  std::string(payload)});
    scan.valid_bytes += length + kRecordOverheadBytes;
    scan.torn = false;
  }
  return scan;
}

}  // namespace ibisvalve::control
