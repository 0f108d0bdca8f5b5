#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ibisvalve::control {

/// Type of the payload of a record.
enum class RecordType : uint8_t {
  kHardState = 1,
  kEntry = 2,
  kSnapshot = 3,
  kIdentity = 4,
};

/// A record of a log, snapshot or identity file.
struct Record {
  RecordType type = RecordType::kEntry;
  std::string payload;

  auto operator<=>(const Record&) const = default;
};

/// Size of an encoded record without its payload, in bytes.
inline constexpr size_t kRecordOverheadBytes = 21;

/// Appends an encoded record to `bytes`: payload length, type, a checksum of
/// both, the payload, its checksum, and an end byte that is never 0.
void AppendRecord(std::string& bytes,
                  RecordType type,
                  std::string_view payload);

/// Result of scanning the records of a file.
struct RecordScan {
  std::vector<Record> records;
  size_t valid_bytes = 0;  // up to the end of the last complete record
  bool torn = false;       // an incomplete record follows
};

/// Decodes the records of a file. A torn write at the end (the file ends within
/// a record, or in zeros that were never overwritten) is reported as torn. Any
/// other error means that synced data is corrupt and throws InvalidInput, which
/// names `file` and the offset.
RecordScan ScanRecords(std::string_view bytes, const std::string& file);

}  // namespace ibisvalve::control
