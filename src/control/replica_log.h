#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "wire/wire.h"

namespace ibisvalve::control {

/// Where a snapshot stands in the log.
struct SnapshotMeta {
  uint64_t index = 0;  // last entry that it includes
  uint64_t term = 0;   // of that entry
  wire::KeeperMembers members;

  auto operator<=>(const SnapshotMeta&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(index, term, members);
  }
};

/// The entries that one replica holds in memory, from a base upwards, and the
/// members that each point of the log puts in force.
class ReplicaLog {
 public:
  /// Starts at `base` with the `entries` that follow it.
  ReplicaLog(const SnapshotMeta& base,
             const std::vector<wire::LogEntry>& entries);

  /// Returns the last index, or that of the base when there are no entries.
  uint64_t last_index() const { return base_.index + entries_.size(); }
  uint64_t last_term() const;
  /// Returns the index before the first entry that is held.
  uint64_t base_index() const { return base_.index; }
  /// Returns the last index that is on disk.
  uint64_t synced_index() const { return synced_; }
  /// Returns whether `index` is the base or an entry that is held.
  bool Holds(uint64_t index) const;
  /// Returns the term at `index`, which must be held.
  uint64_t TermAt(uint64_t index) const;
  /// Returns the entry at `index`, which must be held and above the base.
  const wire::LogEntry& At(uint64_t index) const;
  /// Returns entries from `first` on, up to about `max_bytes` but at least one
  /// if there is one.
  std::vector<wire::LogEntry> From(uint64_t first, size_t max_bytes) const;

  /// Returns the members in force: those of the newest entry that has any.
  const wire::KeeperMembers& members() const { return history_.back().members; }
  /// Returns the members in force at `index`.
  const wire::KeeperMembers& MembersAt(uint64_t index) const;
  /// Returns the index of the entry that put the present members in force.
  uint64_t members_index() const { return history_.back().index; }

  /// Puts `entry` at its index, which may be at most one past the end; drops
  /// every entry from there on first.
  void Put(wire::LogEntry entry);
  /// Returns the entries that are not on disk yet.
  std::vector<wire::LogEntry> Unsynced() const;
  /// Everything up to `index` is on disk.
  void MarkSynced(uint64_t index) { synced_ = index; }
  /// Drops the entries up to `index`.
  void Compact(uint64_t index);
  /// Starts again at `base` without entries.
  void Reset(const SnapshotMeta& base);

 private:
  struct MembersSince {
    uint64_t index;
    wire::KeeperMembers members;
  };

  SnapshotMeta base_;
  std::deque<wire::LogEntry> entries_;
  std::vector<MembersSince> history_;  // by index; the first is the base's
  uint64_t synced_ = 0;
};

}  // namespace ibisvalve::control
