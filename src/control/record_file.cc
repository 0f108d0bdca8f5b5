#include "control/record_file.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>

#include "base/base.h"

namespace ibisvalve::control {
namespace {

constexpr size_t kLengthBytes = 4;
constexpr size_t kTypeBytes = 1;
constexpr size_t kHeadSumBytes = 7;
constexpr size_t kHeadBytes = kLengthBytes + kTypeBytes + kHeadSumBytes;
constexpr size_t kSumBytes = 8;
constexpr char kEndByte = '\xA5';
static_assert(kRecordOverhead == kHeadBytes + kSumBytes + 1);

template <typename Number>
std::string ToBytes(Number number, size_t count) {
  std::string bytes(count, '\0');
  for (size_t i = 0; i < count; ++i) {
    bytes[i] = static_cast<char>(number >> (8 * i) & 0xFF);
  }
  return bytes;
}

uint64_t FromBytes(std::string_view bytes) {
  uint64_t number = 0;
  for (size_t i = 0; i < bytes.size(); ++i) {
    number |= static_cast<uint64_t>(static_cast<uint8_t>(bytes[i])) << (8 * i);
  }
  return number;
}

std::string SumOf(std::string_view bytes, size_t count) {
  return ToBytes(XXH3_64bits(bytes.data(), bytes.size()), count);
}

[[noreturn]] void ThrowDamage(const std::string& file, size_t offset) {
  throw InvalidInput(
      {Finding{Place{file, 0, 0, "byte " + std::to_string(offset)},
               "record checksum mismatch: synced data is corrupt",
               "move the data directory away and start this keeper with an "
               "empty one; it "
               "rejoins the group as a learner"}});
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
  std::string head = ToBytes(payload.size(), kLengthBytes);
  head += static_cast<char>(type);
  bytes += head;
  bytes += SumOf(head, kHeadSumBytes);
  bytes += payload;
  bytes += SumOf(payload, kSumBytes);
  bytes += kEndByte;
}

RecordScan ScanRecords(std::string_view bytes, const std::string& file) {
  RecordScan scan;
  while (scan.valid_bytes < bytes.size()) {
    const std::string_view rest = bytes.substr(scan.valid_bytes);
    scan.torn = true;
    if (rest.size() < kHeadBytes) {
      return scan;
    }
    const std::string_view head = rest.substr(0, kLengthBytes + kTypeBytes);
    if (SumOf(head, kHeadSumBytes) != rest.substr(head.size(), kHeadSumBytes)) {
      if (EndsInZero(rest)) {
        return scan;
      }
      ThrowDamage(file, scan.valid_bytes);
    }
    const size_t length = FromBytes(head.substr(0, kLengthBytes));
    if (rest.size() < length + kRecordOverhead) {
      return scan;
    }
    const std::string_view payload = rest.substr(kHeadBytes, length);
    const std::string_view sum = rest.substr(kHeadBytes + length, kSumBytes);
    if (SumOf(payload, kSumBytes) != sum ||
        rest[length + kRecordOverhead - 1] != kEndByte) {
      if (EndsInZero(rest)) {
        return scan;
      }
      ThrowDamage(file, scan.valid_bytes);
    }
    scan.records.push_back(Record{static_cast<RecordType>(head[kLengthBytes]),
                                  std::string(payload)});
    scan.valid_bytes += length + kRecordOverhead;
    scan.torn = false;
  }
  return scan;
}

}  // namespace ibisvalve::control
