#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ibisvalve::control {

/// What a record of a file holds.
enum class RecordType : uint8_t {
  kHardState = 1,
  kEntry = 2,
  kSnapshot = 3,
  kIdentity = 4,
};

/// One record of a file.
struct Record {
  RecordType type = RecordType::kEntry;
  std::string payload;

  auto operator<=>(const Record&) const = default;
};

/// Bytes of a record beside its payload.
inline constexpr size_t kRecordOverhead = 21;

/// Appends `record` to `bytes`: length, type and a checksum of both, the
/// payload, its checksum, and an end byte that is never 0.
void AppendRecord(std::string& bytes,
                  RecordType type,
                  std::string_view payload);

/// What a file holds.
struct RecordScan {
  std::vector<Record> records;
  size_t valid_bytes = 0;  // up to the end of the last whole record
  bool torn = false;       // a write was cut short after that
};

/// Reads the records of a file. A write that was cut short at the end (the file
/// ends early, or in zeros that were never filled) is reported as torn; any
/// other fault is damage to synced data and throws InvalidInput that names
/// `file` and the offset.
RecordScan ScanRecords(std::string_view bytes, const std::string& file);

}  // namespace ibisvalve::control
