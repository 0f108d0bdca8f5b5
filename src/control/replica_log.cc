#include "control/replica_log.h"

#include <glog/logging.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace ibisvalve::control {

ReplicaLog::ReplicaLog(const SnapshotMeta& base,
                       const std::vector<wire::LogEntry>& entries) {
  Reset(base);
  for (const wire::LogEntry& entry : entries) {
    TruncateAndAppend(entry);
  }
  synced_ = last_index();
}

uint64_t ReplicaLog::last_term() const {
  return entries_.empty() ? base_.term : entries_.back().term;
}

bool ReplicaLog::Holds(uint64_t index) const {
  return index >= base_.index && index <= last_index();
}

uint64_t ReplicaLog::TermAt(uint64_t index) const {
  return index == base_.index ? base_.term : At(index).term;
}

const wire::LogEntry& ReplicaLog::At(uint64_t index) const {
  CHECK_GT(index, base_.index);
  CHECK_LE(index, last_index());
  return entries_[index - base_.index - 1];
}

std::vector<wire::LogEntry> ReplicaLog::EntriesFrom(uint64_t first,
                                                    size_t max_bytes) const {
  std::vector<wire::LogEntry> found;
  size_t bytes = 0;
  for (uint64_t index = first; index <= last_index(); ++index) {
    const wire::LogEntry& entry = At(index);
    bytes += entry.data.size() + sizeof(entry);
    if (!found.empty() && bytes > max_bytes) {
      break;
    }
    found.push_back(entry);
  }
  return found;
}

uint64_t ReplicaLog::StartOfRecent(uint64_t last,
                                   uint64_t max_entries,
                                   uint64_t max_bytes) const {
  uint64_t start = last;
  uint64_t bytes = 0;
  while (start > base_.index && last - start < max_entries) {
    bytes += At(start).data.size();
    if (bytes > max_bytes) {
      break;
    }
    --start;
  }
  return start;
}

const wire::KeeperMembers& ReplicaLog::MembersAt(uint64_t index) const {
  const auto after = std::upper_bound(
      members_history_.begin(), members_history_.end(), index,
      [](uint64_t value, const MembersEntry& at) { return value < at.index; });
  CHECK(after != members_history_.begin())
      << "index precedes the base of the log";
  return std::prev(after)->members;
}

void ReplicaLog::TruncateAndAppend(wire::LogEntry entry) {
  CHECK_GT(entry.index, base_.index);
  CHECK_LE(entry.index, last_index() + 1);
  // Decoded before the log is modified: if decoding throws on malformed data,
  // the log remains consistent.
  std::optional<wire::KeeperMembers> members;
  if (entry.kind == wire::EntryKind::kMembers) {
    members = wire::Decode<wire::KeeperMembers>(entry.data);
  }
  while (last_index() >= entry.index) {
    bytes_ -= entries_.back().data.size();
    entries_.pop_back();
  }
  while (members_history_.size() > 1 &&
         members_history_.back().index >= entry.index) {
    members_history_.pop_back();
  }
  synced_ = std::min(synced_, entry.index - 1);
  if (members) {
    members_history_.push_back(MembersEntry{entry.index, *std::move(members)});
  }
  bytes_ += entry.data.size();
  entries_.push_back(std::move(entry));
}

std::vector<wire::LogEntry> ReplicaLog::Unsynced() const {
  if (synced_ == last_index()) {
    return {};
  }
  return EntriesFrom(synced_ + 1, SIZE_MAX);
}

void ReplicaLog::Compact(uint64_t index) {
  if (index <= base_.index) {
    return;
  }
  const SnapshotMeta base{index, TermAt(index), MembersAt(index)};
  for (uint64_t i = base_.index; i < index; ++i) {
    bytes_ -= entries_.front().data.size();
    entries_.pop_front();
  }
  while (members_history_.size() > 1 && members_history_[1].index <= index) {
    members_history_.erase(members_history_.begin());
  }
  base_ = base;
}

void ReplicaLog::Reset(const SnapshotMeta& base) {
  base_ = base;
  entries_.clear();
  bytes_ = 0;
  members_history_ = {MembersEntry{base.index, base.members}};
  synced_ = base.index;
}

}  // namespace ibisvalve::control
