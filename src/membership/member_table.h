#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "world/world.h"

namespace ibisvalve::membership {

/// Retention times and capacity of a member table.
struct TableSettings {
  /// Retention of dead members and of members that have left.
  Duration dead_retention = std::chrono::minutes(10);
  /// Retention of unreachable members.
  Duration unreachable_retention = std::chrono::hours(24);
  /// Time that an unreachable member has to respond once its zone and region
  /// are no longer mostly silent; after that it is marked dead.
  Duration return_grace = std::chrono::seconds(30);
  /// Maximum number of members; further new members are refused.
  size_t max_members = 5000;

  auto operator<=>(const TableSettings&) const = default;
};

/// Returns whether the announcement `a` supersedes `b`, another one of the same
/// id: by a higher incarnation, then version, then rank of its state.
bool Overrides(const world::Member& a, const world::Member& b);

/// Returns whether the member is alive or suspect, and thus counts as part of
/// the fleet.
bool IsLive(const world::Member& member);

/// One node's view of all members of the fleet. Members are divided into hash
/// buckets; digests of the buckets show where two tables differ.
class MemberTable {
 public:
  static constexpr size_t kBuckets = 128;
  using Digests = std::array<uint32_t, kBuckets>;

  explicit MemberTable(const TableSettings& settings) : settings_(settings) {}

  /// Returns the number of the bucket that the member `id` belongs to.
  static size_t BucketOf(const NodeId& id);
  /// Applies an announcement and returns whether it changed the table. Ignores
  /// an announcement that does not supersede the stored one, one of an unknown
  /// member that is not live, and a new member when the table is full. The
  /// departures of a target and its latest run are kept from both
  /// announcements, so that they outlive the process of its node.
  bool Merge(const world::Member& announced, Time now);
  /// Marks members that have been suspect for `suspicion_time` as dead. If most
  /// of a zone or region is silent, marks its suspect and dead members as
  /// unreachable instead, because a network partition is likely; they become
  /// dead if they do not return within the grace time after it. Removes members
  /// whose retention time has passed. Returns the members whose state changed.
  std::vector<world::Member> Sweep(Time now, Duration suspicion_time);
  /// Returns the member with this id, or null if it is unknown.
  const world::Member* Find(const NodeId& id) const;
  /// Returns all members by id.
  const std::map<NodeId, world::Member>& members() const { return members_; }
  /// Returns the ids of all members in `bucket`, live or not.
  const std::vector<NodeId>& Bucket(size_t bucket) const;
  /// Returns one digest for each bucket, over its live members.
  const Digests& digests() const { return digests_; }
  /// Returns the digest over all live members.
  Digest digest() const { return digest_; }
  /// Returns the number of live members.
  uint32_t live() const { return live_; }
  /// Returns whether a new member was ever refused because the table was full.
  bool overflowed() const { return overflowed_; }

 private:
  // Timestamps of a member whose state is not alive.
  struct StateTimes {
    // Start of the current state.
    Time since;
    // Time of the last sweep that found most of the member's zone or region
    // silent.
    Time last_partitioned;
  };

  // Number of members in a zone or region. Members that are neither alive nor
  // left are silent.
  struct GroupCount {
    uint32_t members = 0;
    uint32_t silent = 0;

    // Requires at least two silent members, because one silent member alone
    // does not indicate a partition.
    bool IsMostlySilent() const { return silent >= 2 && 2 * silent > members; }
  };

  bool MergeTargetHistory(world::Member& member,
                          const world::DepartedRuns& departed,
                          const world::HostedRun& hosted);
  void CountGroups();
  bool IsPartitioned(const world::Location& location) const;
  void SetState(world::Member& member, world::MemberState state, Time now);
  std::optional<world::MemberState> NextState(const world::Member& member,
                                              Time now,
                                              Duration suspicion_time) const;
  bool IsRetentionOver(const world::Member& member, Time now) const;
  void AddToLive(const world::Member& member);
  void RemoveFromLive(const world::Member& member);
  void ToggleDigests(const world::Member& member);
  void Remove(const NodeId& id);

  TableSettings settings_;
  std::map<NodeId, world::Member> members_;
  std::map<NodeId, StateTimes> state_times_;
  std::map<ZoneName, GroupCount> zones_;
  std::map<RegionName, GroupCount> regions_;
  std::array<std::vector<NodeId>, kBuckets> buckets_;
  Digests digests_{};
  Digest digest_;
  uint32_t live_ = 0;
  bool overflowed_ = false;
};

}  // namespace ibisvalve::membership
