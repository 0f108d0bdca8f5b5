#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "wire/wire.h"

namespace ibisvalve::control {

/// Position of a snapshot in the log, and the members at that position.
struct SnapshotMeta {
  uint64_t index = 0;  // last entry that the snapshot includes
  uint64_t term = 0;   // term of that entry
  wire::KeeperMembers members;

  auto operator<=>(const SnapshotMeta&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(index, term, members);
  }
};

/// In-memory log of one replica: the entries that follow a base, which is the
/// last compacted or snapshotted entry, and the members at each index.
class ReplicaLog {
 public:
  /// Starts at `base` with the `entries` that follow it, which are on disk.
  ReplicaLog(const SnapshotMeta& base,
             const std::vector<wire::LogEntry>& entries);

  /// Returns the index of the last entry, or of the base if there are none.
  uint64_t last_index() const { return base_.index + entries_.size(); }
  uint64_t last_term() const;
  /// Returns the index of the base, which precedes the first entry held.
  uint64_t base_index() const { return base_.index; }
  /// Returns the index of the last entry that is on disk.
  uint64_t synced_index() const { return synced_; }
  /// Returns whether `index` is that of the base or of an entry held.
  bool Holds(uint64_t index) const;
  /// Returns the term of the entry at `index`, for which Holds must be true.
  uint64_t TermAt(uint64_t index) const;
  /// Returns the entry at `index`, which must be above the base and at most
  /// last_index().
  const wire::LogEntry& At(uint64_t index) const;
  /// Returns the entries from index `first` on, limited to about `max_bytes`.
  /// At least one entry is returned if there is any.
  std::vector<wire::LogEntry> EntriesFrom(uint64_t first,
                                          size_t max_bytes) const;

  /// Returns the current members: those of the newest membership entry, which
  /// takes effect before it is committed.
  const wire::KeeperMembers& members() const {
    return members_history_.back().members;
  }
  /// Returns the members that apply at `index`.
  const wire::KeeperMembers& MembersAt(uint64_t index) const;
  /// Returns the index of the membership entry that set the current members.
  uint64_t members_index() const { return members_history_.back().index; }

  /// Returns the bytes of the commands in the entries held.
  uint64_t bytes() const { return bytes_; }
  /// Returns the lowest index such that the entries above it, up to `last`, are
  /// at most `max_entries` and hold at most `max_bytes`.
  uint64_t StartOfRecent(uint64_t last,
                         uint64_t max_entries,
                         uint64_t max_bytes) const;

  /// Stores `entry` at its index, which must be above the base and at most one
  /// past the end. Entries with that index or a higher one are dropped first.
  void TruncateAndAppend(wire::LogEntry entry);
  /// Returns the entries that have not been synced to disk.
  std::vector<wire::LogEntry> Unsynced() const;
  /// Records that the entries up to `index` are on disk.
  void MarkSynced(uint64_t index) { synced_ = index; }
  /// Drops the entries up to `index`, which becomes the new base.
  void Compact(uint64_t index);
  /// Discards all entries and starts again at `base`.
  void Reset(const SnapshotMeta& base);

 private:
  struct MembersEntry {
    uint64_t index;
    wire::KeeperMembers members;
  };

  SnapshotMeta base_;
  std::deque<wire::LogEntry> entries_;
  uint64_t bytes_ = 0;  // of the data in entries_
  // By index; the first entry holds the members at the base.
  std::vector<MembersEntry> members_history_;
  uint64_t synced_ = 0;
};

}  // namespace ibisvalve::control
