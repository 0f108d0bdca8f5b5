#include "control/member_plan.h"

#include <algorithm>

namespace ibisvalve::control {
namespace {

// How many entries a caught-up replica may be behind the leader's commit index.
constexpr uint64_t kMaxCaughtUpLagEntries = 100;

bool Contains(const wire::KeeperMembers& members, wire::ReplicaId replica) {
  return std::any_of(members.members.begin(), members.members.end(),
                     [&](const wire::KeeperMember& member) {
                       return member.replica == replica;
                     });
}

bool IsCaughtUp(const GroupView& view, wire::ReplicaId replica, Time now) {
  const auto peer = view.peers.find(replica);
  return peer != view.peers.end() && peer->second.match > 0 &&
         peer->second.match + kMaxCaughtUpLagEntries >= view.commit &&
         now < peer->second.last_reply + view.election_timeout;
}

// Adds a discovered keeper that belongs to no group, or to this one.
std::optional<wire::KeeperMembers> AddDiscoveredKeeper(const GroupView& view) {
  for (const world::Endpoint& endpoint : view.discovered) {
    const auto hello = view.hellos.find(endpoint);
    if (hello == view.hellos.end()) {
      continue;
    }
    const wire::GroupId group = hello->second.group;
    if (group.value != 0 && group != view.members.group) {
      continue;
    }
    const bool is_member =
        std::any_of(view.members.members.begin(), view.members.members.end(),
                    [&](const wire::KeeperMember& member) {
                      return member.replica == hello->second.replica ||
                             member.control == endpoint;
                    });
    if (!is_member) {
      wire::KeeperMembers next = view.members;
      next.members.push_back(wire::KeeperMember{
          hello->second.replica, hello->second.id, endpoint, false});
      return next;
    }
  }
  return std::nullopt;
}

size_t VoterCount(const wire::KeeperMembers& members) {
  return static_cast<size_t>(std::count_if(
      members.members.begin(), members.members.end(),
      [](const wire::KeeperMember& member) { return member.voter; }));
}

// A member that has been silent for this long, and to which no connection is
// open, is considered dead. A dead voter is removed only if another keeper can
// replace it or enough voters remain.
constexpr Duration kDeadMemberTimeout = std::chrono::seconds(2);

// Removes a member that appears to be permanently gone. A voter is removed only
// if a caught-up learner can replace it or if enough voters remain without it.
std::optional<wire::KeeperMembers> RemoveDeadMember(const GroupView& view,
                                                    Time now) {
  const bool has_successor = std::any_of(
      view.members.members.begin(), view.members.members.end(),
      [&](const wire::KeeperMember& member) {
        return !member.voter && IsCaughtUp(view, member.replica, now);
      });
  const size_t min_voters = 2 * size_t{view.tolerated_disk_losses} + 1;
  const bool has_spare_voter = VoterCount(view.members) > min_voters;
  for (const wire::KeeperMember& member : view.members.members) {
    const auto peer = view.peers.find(member.replica);
    const bool dead = peer != view.peers.end() &&
                      now >= peer->second.last_reply + kDeadMemberTimeout &&
                      !view.hellos.contains(member.control);
    if (dead && (!member.voter || has_spare_voter ||
                 (has_successor && VoterCount(view.members) >= min_voters))) {
      wire::KeeperMembers next = view.members;
      std::erase_if(next.members, [&](const wire::KeeperMember& candidate) {
        return candidate.replica == member.replica;
      });
      return next;
    }
  }
  return std::nullopt;
}

bool HasVoter(const wire::KeeperMembers& members) {
  return std::any_of(
      members.members.begin(), members.members.end(),
      [](const wire::KeeperMember& member) { return member.voter; });
}

// Adds a keeper that answers at the endpoint of a member with a new identity.
std::optional<wire::KeeperMembers> AddReturnedKeeper(const GroupView& view) {
  for (const wire::KeeperMember& member : view.members.members) {
    const auto hello = view.hellos.find(member.control);
    if (hello == view.hellos.end() ||
        Contains(view.members, hello->second.replica)) {
      continue;
    }
    // The keeper may already have the group id, from an addition that reached
    // it but was never committed.
    const wire::GroupId group = hello->second.group;
    if (group.value != 0 && group != view.members.group) {
      continue;
    }
    wire::KeeperMembers next = view.members;
    next.members.push_back(wire::KeeperMember{
        hello->second.replica, hello->second.id, member.control, false});
    return next;
  }
  return std::nullopt;
}

}  // namespace

std::optional<wire::KeeperMembers> NextMembers(const GroupView& view,
                                               Time now) {
  if (auto added = AddReturnedKeeper(view)) {
    return added;
  }
  if (auto added = AddDiscoveredKeeper(view)) {
    return added;
  }
  if (view.replaces_dead_members) {
    if (auto dropped = RemoveDeadMember(view, now)) {
      return dropped;
    }
  }
  for (const wire::KeeperMember& learner : view.members.members) {
    if (learner.voter || !IsCaughtUp(view, learner.replica, now)) {
      continue;
    }
    wire::KeeperMembers next = view.members;
    // The former member at this endpoint is removed first, so that the two
    // never both count towards a majority.
    const auto predecessor =
        std::find_if(next.members.begin(), next.members.end(),
                     [&](const wire::KeeperMember& member) {
                       return member.control == learner.control &&
                              member.replica != learner.replica;
                     });
    if (predecessor != next.members.end()) {
      next.members.erase(predecessor);
      if (HasVoter(next)) {
        return next;
      }
      continue;
    }
    for (wire::KeeperMember& member : next.members) {
      member.voter = member.voter || member.replica == learner.replica;
    }
    return next;
  }
  return std::nullopt;
}

std::optional<wire::KeeperMembers> FoundingMembers(
    const wire::KeeperHello& self,
    const std::set<world::Endpoint>& first_set,
    const std::map<world::Endpoint, wire::KeeperHello>& hellos) {
  if (self.group.value != 0 || !self.may_found || first_set.empty() ||
      *first_set.begin() != self.control) {
    return std::nullopt;
  }
  // The group id is the id of the founding replica.
  wire::KeeperMembers founding{wire::GroupId(self.replica.value), {}};
  for (const world::Endpoint& endpoint : first_set) {
    const auto other = hellos.find(endpoint);
    if (endpoint != self.control &&
        (other == hellos.end() || other->second.group.value != 0 ||
         !other->second.may_found)) {
      return std::nullopt;
    }
    const wire::KeeperHello& hello =
        endpoint == self.control ? self : other->second;
    founding.members.push_back(
        wire::KeeperMember{hello.replica, hello.id, endpoint, true});
  }
  return founding;
}

std::optional<wire::KeeperMembers> WithLearner(
    const wire::KeeperMembers& members,
    const wire::KeeperHello& hello,
    const world::Endpoint& control) {
  const bool is_member =
      std::any_of(members.members.begin(), members.members.end(),
                  [&](const wire::KeeperMember& member) {
                    return member.replica == hello.replica ||
                           member.id == hello.id || member.control == control;
                  });
  if (is_member) {
    return std::nullopt;
  }
  wire::KeeperMembers next = members;
  next.members.push_back(
      wire::KeeperMember{hello.replica, hello.id, control, false});
  return next;
}

std::optional<wire::KeeperMembers> WithoutMember(
    const wire::KeeperMembers& members,
    const NodeId& id) {
  wire::KeeperMembers next = members;
  std::erase_if(next.members, [&](const wire::KeeperMember& member) {
    return member.id == id;
  });
  if (next.members.size() + 1 != members.members.size() || !HasVoter(next)) {
    return std::nullopt;
  }
  return next;
}

}  // namespace ibisvalve::control
