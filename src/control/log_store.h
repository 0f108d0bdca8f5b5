#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "control/replica.h"
#include "wire/wire.h"

namespace ibisvalve::control {

/// Thrown when the disk has no room for a write.
class DiskFullError : public SystemError {
 public:
  using SystemError::SystemError;
};

/// Persistent storage of one keeper in its data directory: the identity, the
/// newest snapshot, and the log after that snapshot. Every write returns after
/// it has been synced. A write for which the disk has no room throws
/// DiskFullError: it has no effect and may be repeated. After any other
/// SystemError the store must not be used.
class LogStore {
 public:
  /// Opens `directory`, creating it if it does not exist, and recovers its
  /// contents. Throws SystemError on an I/O error or if another process has
  /// locked the directory, and InvalidInput if synced data is corrupt or
  /// missing. If a new identity is generated, `may_found` is stored with it;
  /// otherwise the stored value applies.
  explicit LogStore(const std::string& directory, bool may_found = true);
  ~LogStore();
  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;

  /// Returns the identity of this replica, which was generated when the
  /// directory was empty.
  wire::ReplicaId replica() const { return replica_; }
  /// Returns whether this replica may found a group, as stored when its
  /// identity was generated.
  bool may_found() const { return may_found_; }
  /// Returns the log recovered by the constructor. May be called only once.
  RecoveredLog TakeRecoveredLog();
  /// Returns the state of the recovered snapshot, or "" if there was none. May
  /// be called only once.
  std::string TakeSnapshotState();

  /// Appends to the log and syncs it. An entry replaces all earlier entries
  /// with its index or a higher one.
  void Append(const std::optional<HardState>& hard_state,
              const std::vector<wire::LogEntry>& entries);
  /// Writes a snapshot, starts a new log file with the `entries` that follow
  /// it, and removes the older files.
  void Compact(const SnapshotMeta& meta,
               const std::string& state,
               const HardState& hard_state,
               const std::vector<wire::LogEntry>& entries);
  /// Returns the size of the log file in bytes.
  uint64_t log_bytes() const { return log_bytes_; }
  /// Returns the number of file syncs since construction.
  uint64_t syncs() const { return syncs_; }

 private:
  void LockDirectory();
  void RecoverIdentity();
  void RecoverSnapshot();
  void RecoverLog();
  void DropEntriesReplacedBySnapshot();
  void OpenLog();
  void DropPartialAppend(const std::string& path);
  void RemoveOlderFiles(const std::string& prefix, uint64_t number);
  void WriteFileAtomically(const std::string& name, const std::string& bytes);
  std::string PathOf(const std::string& name) const;
  std::vector<uint64_t> FileNumbers(const std::string& prefix) const;

  std::string directory_;
  int lock_fd_ = -1;
  int log_fd_ = -1;
  uint64_t log_number_ = 1;
  uint64_t log_bytes_ = 0;
  // Whether the log file may end with a part of an append that had no room.
  bool has_partial_append_ = false;
  uint64_t syncs_ = 0;
  wire::ReplicaId replica_;
  bool may_found_;
  RecoveredLog recovered_;
  std::string snapshot_state_;
};

}  // namespace ibisvalve::control
