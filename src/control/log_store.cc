#include "control/log_store.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <utility>

#include "base/base.h"
#include "control/events.h"
#include "control/record_file.h"

namespace ibisvalve::control {
namespace {

constexpr char kIdentityFile[] = "identity";
constexpr char kLockFile[] = "lock";
constexpr char kLogPrefix[] = "log-";
constexpr char kSnapshotPrefix[] = "snapshot-";
constexpr char kTemporarySuffix[] = ".tmp";
constexpr int kFileMode = 0644;

// Payload of the record in the identity file.
struct IdentityRecord {
  wire::ReplicaId replica;
  bool may_found = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(replica, may_found);
  }
};

// Payload of the record in a snapshot file.
struct SnapshotRecord {
  SnapshotMeta meta;
  std::string state;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(meta, state);
  }
};

[[noreturn]] void ThrowWriteError(const std::string& what, int error) {
  if (error == ENOSPC || error == EDQUOT || error == EFBIG) {
    throw DiskFullError(what, error);
  }
  throw SystemError(what, error);
}

void WriteAll(int fd, const std::string& bytes, const std::string& path) {
  size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count =
        write(fd, bytes.data() + written, bytes.size() - written);
    if (count < 0 && errno != EINTR) {
      ThrowWriteError("cannot write " + path, errno);
    }
    written += static_cast<size_t>(std::max<ssize_t>(count, 0));
  }
}

void SyncDirectory(const std::string& directory) {
  const int fd = open(directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) {
    throw SystemError("cannot open " + directory, errno);
  }
  const int result = fsync(fd);
  const int error = errno;
  close(fd);
  if (result != 0) {
    throw SystemError("cannot sync " + directory, error);
  }
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    throw SystemError("cannot read " + path, errno);
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

std::string NumberedName(const std::string& prefix, uint64_t number) {
  char digits[24];
  std::snprintf(digits, sizeof(digits), "%020llu",
                static_cast<unsigned long long>(number));
  return prefix + digits;
}

[[noreturn]] void ThrowUnrecoverable(const std::string& path,
                                     const std::string& problem) {
  throw InvalidInput({Finding{Place{path, 0, 0, ""}, problem,
                              "move the data directory away and start this "
                              "keeper with an empty one; it rejoins the group "
                              "as a learner"}});
}

// Returns the record of a file that must hold exactly one, of type `type`.
Record ReadSingleRecord(const std::string& path, RecordType type) {
  const std::string bytes = ReadFile(path);
  RecordScan scan = ScanRecords(bytes, path);
  if (scan.torn || scan.records.size() != 1 ||
      scan.records.front().type != type) {
    ThrowUnrecoverable(path,
                       "the file is truncated or holds an unexpected record");
  }
  return std::move(scan.records.front());
}

void AppendLogRecords(std::string& bytes,
                      const std::optional<HardState>& hard_state,
                      const std::vector<wire::LogEntry>& entries) {
  if (hard_state) {
    AppendRecord(bytes, RecordType::kHardState, wire::Encode(*hard_state));
  }
  for (const wire::LogEntry& entry : entries) {
    AppendRecord(bytes, RecordType::kEntry, wire::Encode(entry));
  }
}

wire::ReplicaId RandomReplicaId() {
  std::random_device device;
  uint64_t value = 0;
  while (value == 0) {
    value = static_cast<uint64_t>(device()) << 32 | device();
  }
  return wire::ReplicaId(value);
}

}  // namespace

LogStore::LogStore(const std::string& directory, bool may_found)
    : directory_(directory), may_found_(may_found) {
  std::filesystem::create_directories(directory_);
  LockDirectory();
  try {
    RecoverIdentity();
    RecoverSnapshot();
    RecoverLog();
    DropEntriesReplacedBySnapshot();
    OpenLog();
  } catch (const wire::WireError& error) {
    close(lock_fd_);
    ThrowUnrecoverable(directory_, error.what());
  } catch (...) {
    close(lock_fd_);
    throw;
  }
}

LogStore::~LogStore() {
  close(log_fd_);
  close(lock_fd_);
}

RecoveredLog LogStore::TakeRecoveredLog() {
  return std::move(recovered_);
}

std::string LogStore::TakeSnapshotState() {
  return std::move(snapshot_state_);
}

void LogStore::Append(const std::optional<HardState>& hard_state,
                      const std::vector<wire::LogEntry>& entries) {
  std::string bytes;
  AppendLogRecords(bytes, hard_state, entries);
  if (bytes.empty()) {
    return;
  }
  const std::string path = PathOf(NumberedName(kLogPrefix, log_number_));
  DropPartialAppend(path);
  try {
    WriteAll(log_fd_, bytes, path);
  } catch (const DiskFullError&) {
    has_partial_append_ = true;
    throw;
  }
  if (fdatasync(log_fd_) != 0) {
    throw SystemError("cannot sync " + path, errno);
  }
  ++syncs_;
  log_bytes_ += bytes.size();
}

void LogStore::Compact(const SnapshotMeta& meta,
                       const std::string& state,
                       const HardState& hard_state,
                       const std::vector<wire::LogEntry>& entries) {
  std::string snapshot;
  AppendRecord(snapshot, RecordType::kSnapshot,
               wire::Encode(SnapshotRecord{meta, state}));
  WriteFileAtomically(NumberedName(kSnapshotPrefix, meta.index), snapshot);
  // First, since the new log file may need their room.
  RemoveOlderFiles(kSnapshotPrefix, meta.index);
  // The new log file appears under its name only when it is complete; until
  // then, recovery uses the old one.
  std::string log;
  AppendLogRecords(log, hard_state, entries);
  WriteFileAtomically(NumberedName(kLogPrefix, log_number_ + 1), log);
  ++log_number_;
  close(log_fd_);
  OpenLog();
  has_partial_append_ = false;
  RemoveOlderFiles(kLogPrefix, log_number_);
}

void LogStore::DropPartialAppend(const std::string& path) {
  if (!has_partial_append_) {
    return;
  }
  if (ftruncate(log_fd_, static_cast<off_t>(log_bytes_)) != 0) {
    ThrowWriteError("cannot truncate " + path, errno);
  }
  has_partial_append_ = false;
}

void LogStore::LockDirectory() {
  const std::string path = PathOf(kLockFile);
  lock_fd_ = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (lock_fd_ < 0) {
    ThrowWriteError("cannot open " + path, errno);
  }
  if (flock(lock_fd_, LOCK_EX | LOCK_NB) != 0) {
    const int error = errno;
    close(lock_fd_);
    throw SystemError(
        "data directory is in use by another process: " + directory_, error);
  }
}

void LogStore::RecoverIdentity() {
  const std::string path = PathOf(kIdentityFile);
  const std::vector<uint64_t> logs = FileNumbers(kLogPrefix);
  if (std::filesystem::exists(path)) {
    const auto stored = wire::Decode<IdentityRecord>(
        ReadSingleRecord(path, RecordType::kIdentity).payload);
    replica_ = stored.replica;
    may_found_ = stored.may_found;
    if (logs.empty()) {
      ThrowUnrecoverable(directory_, "the log file is missing");
    }
    return;
  }
  // The log file is created before the identity file, so an identity without a
  // log means that the log was lost.
  const std::vector<uint64_t> snapshots = FileNumbers(kSnapshotPrefix);
  const bool has_data =
      !snapshots.empty() ||
      std::any_of(logs.begin(), logs.end(), [&](uint64_t number) {
        return std::filesystem::file_size(
                   PathOf(NumberedName(kLogPrefix, number))) > 0;
      });
  if (has_data) {
    ThrowUnrecoverable(directory_, "the identity file is missing");
  }
  replica_ = RandomReplicaId();
  WriteFileAtomically(NumberedName(kLogPrefix, log_number_), "");
  std::string bytes;
  AppendRecord(bytes, RecordType::kIdentity,
               wire::Encode(IdentityRecord{replica_, may_found_}));
  WriteFileAtomically(kIdentityFile, bytes);
}

void LogStore::RecoverSnapshot() {
  const std::vector<uint64_t> numbers = FileNumbers(kSnapshotPrefix);
  if (numbers.empty()) {
    return;
  }
  const Record record =
      ReadSingleRecord(PathOf(NumberedName(kSnapshotPrefix, numbers.back())),
                       RecordType::kSnapshot);
  auto stored = wire::Decode<SnapshotRecord>(record.payload);
  recovered_.snapshot = std::move(stored.meta);
  snapshot_state_ = std::move(stored.state);
}

void LogStore::RecoverLog() {
  log_number_ = FileNumbers(kLogPrefix).back();
  if (log_number_ > 1 && recovered_.snapshot.index == 0) {
    ThrowUnrecoverable(directory_, "the snapshot file is missing");
  }
  const std::string path = PathOf(NumberedName(kLogPrefix, log_number_));
  const std::string bytes = ReadFile(path);
  const RecordScan scan = ScanRecords(bytes, path);
  for (const Record& record : scan.records) {
    if (record.type == RecordType::kHardState) {
      recovered_.hard_state = wire::Decode<HardState>(record.payload);
      continue;
    }
    auto entry = wire::Decode<wire::LogEntry>(record.payload);
    std::vector<wire::LogEntry>& entries = recovered_.entries;
    // An entry replaces all entries with its index or a higher one.
    if (!entries.empty()) {
      const uint64_t first = entries.front().index;
      if (entry.index > entries.back().index + 1) {
        ThrowUnrecoverable(path, "log entries are missing");
      }
      entries.resize(entry.index > first ? entry.index - first : 0);
    }
    entries.push_back(std::move(entry));
  }
  if (scan.torn) {
    LogEvent(kTornTail, {{"file", path},
                         {"kept_bytes", scan.valid_bytes},
                         {"dropped_bytes", bytes.size() - scan.valid_bytes}});
    if (truncate(path.c_str(), static_cast<off_t>(scan.valid_bytes)) != 0) {
      throw SystemError("cannot truncate " + path, errno);
    }
  }
}

// Drops log entries that the snapshot replaces. If the process ended between
// writing the snapshot and writing the new log, the log still holds entries
// that the snapshot includes. If the snapshot came from the leader, the log may
// also hold entries that conflict with it and were never committed.
void LogStore::DropEntriesReplacedBySnapshot() {
  const SnapshotMeta& meta = recovered_.snapshot;
  std::vector<wire::LogEntry>& entries = recovered_.entries;
  if (entries.empty()) {
    return;
  }
  if (entries.front().index > meta.index + 1) {
    ThrowUnrecoverable(directory_,
                       "log entries after the snapshot are missing");
  }
  if (entries.front().index == meta.index + 1) {
    return;
  }
  const auto included = std::find_if(
      entries.begin(), entries.end(), [&](const wire::LogEntry& entry) {
        return entry.index == meta.index && entry.term == meta.term;
      });
  entries.erase(entries.begin(), included == entries.end()
                                     ? entries.end()
                                     : std::next(included));
}

void LogStore::OpenLog() {
  const std::string path = PathOf(NumberedName(kLogPrefix, log_number_));
  log_fd_ = open(path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
  if (log_fd_ < 0) {
    throw SystemError("cannot open " + path, errno);
  }
  // Recovered entries count as durable from here on, so data that the previous
  // process wrote but did not sync is synced now.
  if (fsync(log_fd_) != 0) {
    throw SystemError("cannot sync " + path, errno);
  }
  log_bytes_ = std::filesystem::file_size(path);
}

void LogStore::RemoveOlderFiles(const std::string& prefix, uint64_t number) {
  for (const uint64_t candidate : FileNumbers(prefix)) {
    if (candidate < number) {
      std::filesystem::remove(PathOf(NumberedName(prefix, candidate)));
    }
  }
}

// Writes a file atomically: it appears under its name only when it is complete
// and synced.
void LogStore::WriteFileAtomically(const std::string& name,
                                   const std::string& bytes) {
  const std::string path = PathOf(name);
  const std::string temporary_path = path + kTemporarySuffix;
  const int fd = open(temporary_path.c_str(),
                      O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode);
  if (fd < 0) {
    ThrowWriteError("cannot write " + temporary_path, errno);
  }
  try {
    WriteAll(fd, bytes, temporary_path);
    if (fsync(fd) != 0) {
      ThrowWriteError("cannot sync " + temporary_path, errno);
    }
  } catch (...) {
    close(fd);
    unlink(temporary_path.c_str());
    throw;
  }
  close(fd);
  if (std::rename(temporary_path.c_str(), path.c_str()) != 0) {
    ThrowWriteError("cannot rename " + temporary_path, errno);
  }
  SyncDirectory(directory_);
  ++syncs_;
}

std::string LogStore::PathOf(const std::string& name) const {
  return directory_ + "/" + name;
}

// Returns the numbers of the files whose names begin with `prefix`, in
// ascending order.
std::vector<uint64_t> LogStore::FileNumbers(const std::string& prefix) const {
  std::vector<uint64_t> numbers;
  for (const auto& file : std::filesystem::directory_iterator(directory_)) {
    const std::string name = file.path().filename().string();
    if (name.starts_with(prefix) && !name.ends_with(kTemporarySuffix)) {
      numbers.push_back(
          std::strtoull(name.c_str() + prefix.size(), nullptr, 10));
    }
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

}  // namespace ibisvalve::control
