#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "world/world.h"

namespace ibisvalve::membership {

/// How long states of a table last.
struct TableSettings {
  Duration forget_after = std::chrono::minutes(10);  // dead or left
  Duration hold = std::chrono::hours(24);            // unreachable
  Duration return_grace = std::chrono::seconds(30);  // of a cut zone's members
  size_t max_members = 5000;

  auto operator<=>(const TableSettings&) const = default;
};

/// Returns whether `a` overrides `b`, a former announcement of the same id.
bool Overrides(const world::Member& a, const world::Member& b);

/// Returns whether the fleet counts on the member.
bool IsLive(const world::Member& member);

/// Everything one node believes of the fleet, with digests for comparing it
/// with another table.
class MemberTable {
 public:
  static constexpr size_t kBuckets = 128;
  using Digests = std::array<uint32_t, kBuckets>;

  explicit MemberTable(const TableSettings& settings) : settings_(settings) {}

  /// Takes in an announcement; returns whether it changed anything. One that
  /// does not override what is known is ignored, and so is the end of a member
  /// that is not known.
  bool Merge(const world::Member& heard, Time now);
  /// Ends every suspicion older than `suspicion`, holds members of zones and
  /// regions that went silent together as unreachable, forgets old members.
  /// Returns the members whose state changed.
  std::vector<world::Member> Sweep(Time now, Duration suspicion);
  /// Returns the member, or null.
  const world::Member* Find(const NodeId& id) const;
  /// Returns every member by id.
  const std::map<NodeId, world::Member>& members() const { return members_; }
  /// Returns the ids of the members of one bucket.
  const std::vector<NodeId>& Bucket(size_t bucket) const;
  /// Returns digests of the live members of each bucket.
  const Digests& digests() const { return digests_; }
  /// Returns one digest of all live members.
  Digest digest() const { return digest_; }
  /// Returns how many members are live.
  uint32_t live() const { return live_; }
  /// Returns whether a new member was refused because the table is full.
  bool overflowed() const { return overflowed_; }

 private:
  // Of the states other than alive.
  struct Silence {
    Time since;     // of the state
    Time cut_last;  // when most of its zone or region was silent last
  };

  struct Count {
    uint32_t members = 0;
    uint32_t silent = 0;

    bool MostlySilent() const { return silent >= 2 && 2 * silent > members; }
  };

  void CountGroups();
  bool IsCut(const world::Location& location) const;
  void SetState(world::Member& member, world::MemberState state, Time now);
  std::optional<world::MemberState> Expired(const world::Member& member,
                                            Time now,
                                            Duration suspicion) const;
  bool IsOld(const world::Member& member, Time now) const;
  void CountIn(const world::Member& member);
  void CountOut(const world::Member& member);
  void ToggleDigests(const world::Member& member);
  void Forget(const NodeId& id);

  TableSettings settings_;
  std::map<NodeId, world::Member> members_;
  std::map<NodeId, Silence> silences_;
  std::map<ZoneName, Count> zones_;
  std::map<RegionName, Count> regions_;
  std::array<std::vector<NodeId>, kBuckets> buckets_;
  Digests digests_{};
  Digest digest_;
  uint32_t live_ = 0;
  bool overflowed_ = false;
};

}  // namespace ibisvalve::membership
