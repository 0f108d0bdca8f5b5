#include "membership/member_table.h"

#include <algorithm>
#include <tuple>

namespace ibisvalve::membership {
namespace {

using world::Member;
using world::MemberState;

// Returns the precedence of a state: of two announcements with the same
// incarnation and version, the one with the higher rank supersedes the other.
int Rank(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return 0;
    case MemberState::kSuspect:
      return 1;
    case MemberState::kUnreachable:
    case MemberState::kDead:
      return 2;
    case MemberState::kLeft:
      return 3;
  }
  return 0;
}

uint64_t HashOf(const Member& member) {
  std::string bytes = member.id.value;
  bytes += '\0';
  bytes += std::to_string(member.incarnation.value);
  bytes += ':';
  bytes += std::to_string(member.version);
  bytes += member.state == MemberState::kSuspect ? 's' : 'a';
  for (const world::TargetRun& run : member.departed.runs()) {
    bytes += std::to_string(run.started_ms);
    bytes += ':';
    bytes += std::to_string(run.identity.value);
    bytes += ';';
  }
  const world::HostedRun& hosted = member.hosted;
  if (hosted != world::HostedRun()) {
    for (const uint64_t part : {hosted.since.value, uint64_t{hosted.number},
                                hosted.run.value, hosted.confirmed.value}) {
      bytes += '/';
      bytes += std::to_string(part);
    }
  }
  return DigestOf(bytes).value;
}

}  // namespace

bool Overrides(const Member& a, const Member& b) {
  return std::tuple(a.incarnation, a.version, Rank(a.state)) >
         std::tuple(b.incarnation, b.version, Rank(b.state));
}

bool IsLive(const Member& member) {
  return member.state == MemberState::kAlive ||
         member.state == MemberState::kSuspect;
}

size_t MemberTable::BucketOf(const NodeId& id) {
  return DigestOf(id.value).value % kBuckets;
}

bool MemberTable::Merge(const Member& announced, Time now) {
  world::DepartedRuns departed = announced.departed;
  world::HostedRun hosted = announced.hosted;
  const auto found = members_.find(announced.id);
  if (found == members_.end()) {
    if (!IsLive(announced)) {
      return false;
    }
    if (members_.size() >= settings_.max_members) {
      overflowed_ = true;
      return false;
    }
    buckets_[BucketOf(announced.id)].push_back(announced.id);
  } else {
    departed = departed.With(found->second.departed);
    hosted = world::Latest(hosted, found->second.hosted);
    if (!Overrides(announced, found->second)) {
      return MergeTargetHistory(found->second, departed, hosted);
    }
    RemoveFromLive(found->second);
  }
  Member& member = members_[announced.id];
  member = announced;
  member.departed = departed;
  member.hosted = hosted;
  AddToLive(member);
  const bool dead = announced.state == MemberState::kDead ||
                    announced.state == MemberState::kUnreachable;
  if (dead) {
    SetState(member,
             IsPartitioned(announced.location) ? MemberState::kUnreachable
                                               : MemberState::kDead,
             now);
  } else {
    SetState(member, announced.state, now);
  }
  return true;
}

// Returns whether anything has changed.
bool MemberTable::MergeTargetHistory(Member& member,
                                     const world::DepartedRuns& departed,
                                     const world::HostedRun& hosted) {
  if (departed == member.departed && hosted == member.hosted) {
    return false;
  }
  RemoveFromLive(member);
  member.departed = departed;
  member.hosted = hosted;
  AddToLive(member);
  return true;
}

std::vector<Member> MemberTable::Sweep(Time now, Duration suspicion_time) {
  CountGroups();
  std::vector<Member> changed;
  std::vector<NodeId> expired;
  for (auto& [id, member] : members_) {
    if (member.state == MemberState::kAlive) {
      continue;
    }
    if (IsPartitioned(member.location)) {
      state_times_[id].last_partitioned = now;
    }
    if (const auto next = NextState(member, now, suspicion_time)) {
      SetState(member, *next, now);
      changed.push_back(member);
    } else if (IsRetentionOver(member, now)) {
      expired.push_back(id);
    }
  }
  for (const NodeId& id : expired) {
    Remove(id);
  }
  return changed;
}

const Member* MemberTable::Find(const NodeId& id) const {
  const auto found = members_.find(id);
  return found == members_.end() ? nullptr : &found->second;
}

const std::vector<NodeId>& MemberTable::Bucket(size_t bucket) const {
  return buckets_.at(bucket);
}

void MemberTable::CountGroups() {
  zones_.clear();
  regions_.clear();
  for (const auto& [id, member] : members_) {
    if (member.state == MemberState::kLeft) {
      continue;
    }
    const uint32_t silent = member.state == MemberState::kAlive ? 0 : 1;
    GroupCount& zone = zones_[member.location.zone];
    GroupCount& region = regions_[member.location.region];
    ++zone.members;
    ++region.members;
    zone.silent += silent;
    region.silent += silent;
  }
}

bool MemberTable::IsPartitioned(const world::Location& location) const {
  const auto zone = zones_.find(location.zone);
  const auto region = regions_.find(location.region);
  return (zone != zones_.end() && zone->second.IsMostlySilent()) ||
         (region != regions_.end() && region->second.IsMostlySilent());
}

void MemberTable::SetState(Member& member, MemberState state, Time now) {
  RemoveFromLive(member);
  member.state = state;
  AddToLive(member);
  if (state == MemberState::kAlive) {
    state_times_.erase(member.id);
  } else {
    state_times_[member.id].since = now;
  }
}

// Returns the state that the member enters at this sweep, or nothing if its
// state stays.
std::optional<MemberState> MemberTable::NextState(
    const Member& member,
    Time now,
    Duration suspicion_time) const {
  const StateTimes& times = state_times_.at(member.id);
  const bool partitioned = times.last_partitioned == now;
  if (member.state == MemberState::kSuspect &&
      now - times.since >= suspicion_time) {
    return partitioned ? MemberState::kUnreachable : MemberState::kDead;
  }
  if (member.state == MemberState::kDead && partitioned) {
    return MemberState::kUnreachable;
  }
  // The zone and region are no longer mostly silent, so the partition has
  // healed. The member has `return_grace` to respond as well before it is
  // marked dead.
  if (member.state == MemberState::kUnreachable && !partitioned &&
      now - times.last_partitioned >= settings_.return_grace) {
    return MemberState::kDead;
  }
  return std::nullopt;
}

bool MemberTable::IsRetentionOver(const Member& member, Time now) const {
  const Duration age = now - state_times_.at(member.id).since;
  switch (member.state) {
    case MemberState::kAlive:
    case MemberState::kSuspect:
      return false;
    case MemberState::kUnreachable:
      return age >= settings_.unreachable_retention;
    case MemberState::kDead:
    case MemberState::kLeft:
      return age >= settings_.dead_retention;
  }
  return false;
}

void MemberTable::AddToLive(const Member& member) {
  if (IsLive(member)) {
    ++live_;
    ToggleDigests(member);
  }
}

void MemberTable::RemoveFromLive(const Member& member) {
  if (IsLive(member)) {
    --live_;
    ToggleDigests(member);
  }
}

// Adds a live member to the digests or removes it; both are the same XOR.
void MemberTable::ToggleDigests(const Member& member) {
  const uint64_t hash = HashOf(member);
  digests_[BucketOf(member.id)] ^= static_cast<uint32_t>(hash);
  digest_.value ^= hash;
}

void MemberTable::Remove(const NodeId& id) {
  auto& bucket = buckets_[BucketOf(id)];
  bucket.erase(std::find(bucket.begin(), bucket.end(), id));
  members_.erase(id);
  state_times_.erase(id);
}

}  // namespace ibisvalve::membership
