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

// Returns whether a keeper may become a learner. It may already have the id of
// this group, from an addition that reached it but was never committed.
bool MayJoin(const GroupView& view, const wire::KeeperHello& hello) {
  const wire::GroupId group = hello.group;
  return (group.value == 0 || group == view.members.group) &&
         !view.leaving.contains(hello.replica);
}

// Adds a discovered keeper that belongs to no group, or to this one.
std::optional<wire::KeeperMembers> AddDiscoveredKeeper(const GroupView& view) {
  for (const world::Endpoint& endpoint : view.discovered) {
    const auto hello = view.hellos.find(endpoint);
    if (hello == view.hellos.end()) {
      continue;
    }
    if (!MayJoin(view, hello->second)) {
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

// Number of voters with which the loss of as many disks as are tolerated leaves
// a majority.
size_t MinVoters(const GroupView& view) {
  return 2 * size_t{view.tolerated_disk_losses} + 1;
}

// Removes a voter that is leaving while its process still runs, if enough
// voters remain. Otherwise it would count towards the majority until it is
// found to be dead, and disks lost in that time could cost the group its
// majority for good.
std::optional<wire::KeeperMembers> RemoveLeavingVoter(const GroupView& view) {
  if (VoterCount(view.members) <= MinVoters(view)) {
    return std::nullopt;
  }
  for (const wire::KeeperMember& member : view.members.members) {
    if (member.voter && view.leaving.contains(member.replica)) {
      wire::KeeperMembers next = view.members;
      std::erase(next.members, member);
      return next;
    }
  }
  return std::nullopt;
}

// A member that has been silent for this long, and to which no connection is
// open, is considered dead. A dead voter is removed only if another keeper can
// replace it or enough voters remain.
constexpr Duration kDeadMemberTimeout = std::chrono::seconds(2);

// Returns whether a member has announced its departure or has been silent for
// kDeadMemberTimeout, and no link to it is up.
bool IsDead(const GroupView& view, const wire::KeeperMember& member, Time now) {
  const auto peer = view.peers.find(member.replica);
  return peer != view.peers.end() && !view.hellos.contains(member.control) &&
         (view.departed.contains(member.control) ||
          now >= peer->second.last_reply + kDeadMemberTimeout);
}

// Removes a member that appears to be permanently gone. A voter is removed only
// if a caught-up learner can replace it or if enough voters remain without it.
std::optional<wire::KeeperMembers> RemoveDeadMember(const GroupView& view,
                                                    Time now) {
  const bool has_successor = std::any_of(
      view.members.members.begin(), view.members.members.end(),
      [&](const wire::KeeperMember& member) {
        return !member.voter && !view.leaving.contains(member.replica) &&
               IsCaughtUp(view, member.replica, now);
      });
  const size_t min_voters = MinVoters(view);
  const bool has_spare_voter = VoterCount(view.members) > min_voters;
  for (const wire::KeeperMember& member : view.members.members) {
    if (IsDead(view, member, now) &&
        (!member.voter || has_spare_voter ||
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
    if (!MayJoin(view, hello->second)) {
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
  if (view.replaces_dead_members) {
    if (auto remaining = RemoveLeavingVoter(view)) {
      return remaining;
    }
  }
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
    if (learner.voter || view.leaving.contains(learner.replica) ||
        !IsCaughtUp(view, learner.replica, now)) {
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

wire::LeaveResult ResultOfLeaving(const GroupView& view,
                                  wire::ReplicaId replica) {
  const auto& members = view.members.members;
  const bool is_voter = std::any_of(
      members.begin(), members.end(), [&](const wire::KeeperMember& member) {
        return member.replica == replica && member.voter;
      });
  if (!is_voter) {
    return wire::LeaveResult::kLeft;
  }
  const bool has_future_voter = std::any_of(
      members.begin(), members.end(), [&](const wire::KeeperMember& member) {
        const auto hello = view.hellos.find(member.control);
        return !member.voter && hello != view.hellos.end() &&
               hello->second.replica == member.replica &&
               !view.leaving.contains(member.replica);
      });
  const bool can_be_removed =
      view.replaces_dead_members &&
      (has_future_voter || VoterCount(view.members) > MinVoters(view));
  return can_be_removed ? wire::LeaveResult::kRetry : wire::LeaveResult::kStays;
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
