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

constexpr char kIdentityName[] = "identity";
constexpr char kLockName[] = "lock";
constexpr char kLogPrefix[] = "log-";
constexpr char kSnapshotPrefix[] = "snapshot-";
constexpr char kUnfinishedSuffix[] = ".tmp";
constexpr int kFileMode = 0644;

// Payload of the record in the identity file.
struct StoredIdentity {
  wire::ReplicaId replica;
  bool may_found = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(replica, may_found);
  }
};

// Payload of the record in a snapshot file.
struct StoredSnapshot {
  SnapshotMeta meta;
  std::string state;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(meta, state);
  }
};

void WriteAll(int fd, const std::string& bytes, const std::string& path) {
  size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t count = write(fd, bytes.data() + done, bytes.size() - done);
    if (count < 0 && errno != EINTR) {
      throw SystemError("cannot write " + path, errno);
    }
    done += static_cast<size_t>(std::max<ssize_t>(count, 0));
  }
}

void SyncFolder(const std::string& folder) {
  const int fd = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) {
    throw SystemError("cannot open " + folder, errno);
  }
  const int result = fsync(fd);
  const int error = errno;
  close(fd);
  if (result != 0) {
    throw SystemError("cannot sync " + folder, error);
  }
}

std::string ReadWhole(const std::string& path) {
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

[[noreturn]] void ThrowUnreadable(const std::string& path,
                                  const std::string& problem) {
  throw InvalidInput({Finding{Place{path, 0, 0, ""}, problem,
                              "move the data directory away and start this "
                              "keeper with an empty one; it "
                              "rejoins the group as a learner"}});
}

// Returns the record of a file that must hold exactly one, of type `type`.
Record ReadSingle(const std::string& path, RecordType type) {
  const std::string bytes = ReadWhole(path);
  RecordScan scan = ScanRecords(bytes, path);
  if (scan.torn || scan.records.size() != 1 ||
      scan.records.front().type != type) {
    ThrowUnreadable(path,
                    "the file is truncated or holds an unexpected record");
  }
  return std::move(scan.records.front());
}

void EncodeLog(std::string& bytes,
               const std::optional<HardState>& hard,
               const std::vector<wire::LogEntry>& entries) {
  if (hard) {
    AppendRecord(bytes, RecordType::kHardState, wire::Encode(*hard));
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

LogStore::LogStore(const std::string& folder, bool may_found)
    : folder_(folder), may_found_(may_found) {
  std::filesystem::create_directories(folder_);
  Lock();
  try {
    RecoverIdentity();
    RecoverSnapshot();
    RecoverLog();
    DropWhatSnapshotReplaces();
    OpenLog();
  } catch (const wire::WireError& error) {
    close(lock_fd_);
    ThrowUnreadable(folder_, error.what());
  } catch (...) {
    close(lock_fd_);
    throw;
  }
}

LogStore::~LogStore() {
  close(log_fd_);
  close(lock_fd_);
}

RecoveredLog LogStore::TakeRecovered() {
  return std::move(recovered_);
}

std::string LogStore::TakeState() {
  return std::move(state_);
}

void LogStore::Append(const std::optional<HardState>& hard,
                      const std::vector<wire::LogEntry>& entries) {
  std::string bytes;
  EncodeLog(bytes, hard, entries);
  if (bytes.empty()) {
    return;
  }
  const std::string path = PathOf(NumberedName(kLogPrefix, log_number_));
  WriteAll(log_fd_, bytes, path);
  if (fdatasync(log_fd_) != 0) {
    throw SystemError("cannot sync " + path, errno);
  }
  ++syncs_;
  log_bytes_ += bytes.size();
}

void LogStore::Compact(const SnapshotMeta& meta,
                       const std::string& state,
                       const HardState& hard,
                       const std::vector<wire::LogEntry>& entries) {
  std::string snapshot;
  AppendRecord(snapshot, RecordType::kSnapshot,
               wire::Encode(StoredSnapshot{meta, state}));
  WriteWhole(NumberedName(kSnapshotPrefix, meta.index), snapshot);
  // The new log file appears under its name only when it is complete; until
  // then, recovery uses the old one.
  std::string log;
  EncodeLog(log, hard, entries);
  WriteWhole(NumberedName(kLogPrefix, log_number_ + 1), log);
  ++log_number_;
  close(log_fd_);
  OpenLog();
  RemoveOlder(kLogPrefix, log_number_);
  RemoveOlder(kSnapshotPrefix, meta.index);
}

void LogStore::Lock() {
  const std::string path = PathOf(kLockName);
  lock_fd_ = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (lock_fd_ < 0) {
    throw SystemError("cannot open " + path, errno);
  }
  if (flock(lock_fd_, LOCK_EX | LOCK_NB) != 0) {
    const int error = errno;
    close(lock_fd_);
    throw SystemError("data directory is in use by another process: " + folder_,
                      error);
  }
}

void LogStore::RecoverIdentity() {
  const std::string path = PathOf(kIdentityName);
  const std::vector<uint64_t> logs = Numbers(kLogPrefix);
  if (std::filesystem::exists(path)) {
    const auto stored = wire::Decode<StoredIdentity>(
        ReadSingle(path, RecordType::kIdentity).payload);
    replica_ = stored.replica;
    may_found_ = stored.may_found;
    if (logs.empty()) {
      ThrowUnreadable(folder_, "the log file is missing");
    }
    return;
  }
  // The log file is created before the identity file, so an identity without a
  // log means that the log was lost.
  const std::vector<uint64_t> snapshots = Numbers(kSnapshotPrefix);
  const bool used = !snapshots.empty() ||
                    std::any_of(logs.begin(), logs.end(), [&](uint64_t number) {
                      return std::filesystem::file_size(
                                 PathOf(NumberedName(kLogPrefix, number))) > 0;
                    });
  if (used) {
    ThrowUnreadable(folder_, "the identity file is missing");
  }
  replica_ = RandomReplicaId();
  WriteWhole(NumberedName(kLogPrefix, log_number_), "");
  std::string bytes;
  AppendRecord(bytes, RecordType::kIdentity,
               wire::Encode(StoredIdentity{replica_, may_found_}));
  WriteWhole(kIdentityName, bytes);
}

void LogStore::RecoverSnapshot() {
  const std::vector<uint64_t> numbers = Numbers(kSnapshotPrefix);
  if (numbers.empty()) {
    return;
  }
  const Record record =
      ReadSingle(PathOf(NumberedName(kSnapshotPrefix, numbers.back())),
                 RecordType::kSnapshot);
  auto stored = wire::Decode<StoredSnapshot>(record.payload);
  recovered_.snapshot = std::move(stored.meta);
  state_ = std::move(stored.state);
}

void LogStore::RecoverLog() {
  log_number_ = Numbers(kLogPrefix).back();
  if (log_number_ > 1 && recovered_.snapshot.index == 0) {
    ThrowUnreadable(folder_, "the snapshot file is missing");
  }
  const std::string path = PathOf(NumberedName(kLogPrefix, log_number_));
  const std::string bytes = ReadWhole(path);
  const RecordScan scan = ScanRecords(bytes, path);
  for (const Record& record : scan.records) {
    if (record.type == RecordType::kHardState) {
      recovered_.hard = wire::Decode<HardState>(record.payload);
      continue;
    }
    auto entry = wire::Decode<wire::LogEntry>(record.payload);
    std::vector<wire::LogEntry>& entries = recovered_.entries;
    // An entry replaces all entries with its index or a higher one.
    if (!entries.empty()) {
      const uint64_t first = entries.front().index;
      if (entry.index > entries.back().index + 1) {
        ThrowUnreadable(path, "log entries are missing");
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
void LogStore::DropWhatSnapshotReplaces() {
  const SnapshotMeta& meta = recovered_.snapshot;
  std::vector<wire::LogEntry>& entries = recovered_.entries;
  if (entries.empty()) {
    return;
  }
  if (entries.front().index > meta.index + 1) {
    ThrowUnreadable(folder_, "log entries after the snapshot are missing");
  }
  if (entries.front().index == meta.index + 1) {
    return;
  }
  const auto same = std::find_if(
      entries.begin(), entries.end(), [&](const wire::LogEntry& entry) {
        return entry.index == meta.index && entry.term == meta.term;
      });
  entries.erase(entries.begin(),
                same == entries.end() ? entries.end() : std::next(same));
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

void LogStore::RemoveOlder(const std::string& prefix, uint64_t number) {
  for (const uint64_t old : Numbers(prefix)) {
    if (old < number) {
      std::filesystem::remove(PathOf(NumberedName(prefix, old)));
    }
  }
}

// Writes a file atomically: it appears under its name only when it is complete
// and synced.
void LogStore::WriteWhole(const std::string& name, const std::string& bytes) {
  const std::string path = PathOf(name);
  const std::string unfinished = path + kUnfinishedSuffix;
  const int fd = open(unfinished.c_str(),
                      O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode);
  if (fd < 0) {
    throw SystemError("cannot write " + unfinished, errno);
  }
  try {
    WriteAll(fd, bytes, unfinished);
  } catch (...) {
    close(fd);
    throw;
  }
  const int result = fsync(fd);
  const int error = errno;
  close(fd);
  if (result != 0) {
    throw SystemError("cannot sync " + unfinished, error);
  }
  if (std::rename(unfinished.c_str(), path.c_str()) != 0) {
    throw SystemError("cannot rename " + unfinished, errno);
  }
  SyncFolder(folder_);
  ++syncs_;
}

std::string LogStore::PathOf(const std::string& name) const {
  return folder_ + "/" + name;
}

// Returns the numbers of the files whose names begin with `prefix`, in
// ascending order.
std::vector<uint64_t> LogStore::Numbers(const std::string& prefix) const {
  std::vector<uint64_t> numbers;
  for (const auto& file : std::filesystem::directory_iterator(folder_)) {
    const std::string name = file.path().filename().string();
    if (name.starts_with(prefix) && !name.ends_with(kUnfinishedSuffix)) {
      numbers.push_back(
          std::strtoull(name.c_str() + prefix.size(), nullptr, 10));
    }
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

}  // namespace ibisvalve::control
