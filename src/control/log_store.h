#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "control/replica.h"
#include "wire/wire.h"

namespace ibisvalve::control {

/// The files of one keeper in its data folder: who it is, its newest snapshot,
/// and the log since then. Every write returns once it is synced; a failed
/// write throws SystemError, after which the store must not be used.
class LogStore {
 public:
  /// Opens `folder`, which is made if it does not exist, and recovers what it
  /// holds. Throws SystemError, also when another process uses the folder, and
  /// InvalidInput when synced data is damaged or missing.
  /// `may_found` is kept with an identity that is made up now.
  explicit LogStore(const std::string& folder, bool may_found = true);
  ~LogStore();
  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;

  /// Returns the identity of this replica, made up when the folder was empty.
  wire::ReplicaId replica() const { return replica_; }
  /// Returns whether this replica may found a group, as said when its identity
  /// was made up.
  bool may_found() const { return may_found_; }
  /// Returns what was found at the start. To be called once.
  RecoveredLog TakeRecovered();
  /// Returns the state in the snapshot found at the start, or "".
  std::string TakeState();

  /// Adds to the log; entries replace what they overlap.
  void Append(const std::optional<HardState>& hard,
              const std::vector<wire::LogEntry>& entries);
  /// Writes a snapshot and starts a new log with the `entries` after it; older
  /// files are removed.
  void Compact(const SnapshotMeta& meta,
               const std::string& state,
               const HardState& hard,
               const std::vector<wire::LogEntry>& entries);
  /// Returns the size of the log in bytes.
  uint64_t log_bytes() const { return log_bytes_; }
  /// Returns how often a file was synced since the start.
  uint64_t syncs() const { return syncs_; }

 private:
  void Lock();
  void RecoverIdentity();
  void RecoverSnapshot();
  void RecoverLog();
  void DropWhatSnapshotReplaces();
  void OpenLog();
  void RemoveOlder(const std::string& prefix, uint64_t number);
  void WriteWhole(const std::string& name, const std::string& bytes);
  std::string PathOf(const std::string& name) const;
  std::vector<uint64_t> Numbers(const std::string& prefix) const;

  std::string folder_;
  int lock_fd_ = -1;
  int log_fd_ = -1;
  uint64_t log_number_ = 1;
  uint64_t log_bytes_ = 0;
  uint64_t syncs_ = 0;
  wire::ReplicaId replica_;
  bool may_found_;
  RecoveredLog recovered_;
  std::string state_;
};

}  // namespace ibisvalve::control
