#pragma once

#include <map>
#include <optional>
#include <set>

#include "control/replica.h"
#include "wire/wire.h"

namespace ibisvalve::control {

/// What the leader knows when it considers its group.
struct GroupView {
  wire::KeeperMembers members;
  std::map<world::Endpoint, wire::KeeperHello> hellos;  // who answers where
  std::map<wire::ReplicaId, PeerProgress> peers;
  uint64_t commit = 0;
  Duration election{0};  // a peer silent for longer is not counted on
  std::set<world::Endpoint> found{};  // where keepers are that may join
  bool replaces = false;              // voters that are gone may be dropped
  uint32_t bears_lost_disks = 1;      // with `replaces`
};

/// Returns the members with the next change that the group needs, if any: a
/// keeper that came back without its disk is added as a learner, a learner that
/// has caught up takes the place of its former self and then votes. Pure.
std::optional<wire::KeeperMembers> NextMembers(const GroupView& view, Time now);

/// Returns the members of a new group, if this keeper is the one to found it:
/// the first of `first_set`, once all others answer and none belongs to a
/// group.
std::optional<wire::KeeperMembers> FoundingMembers(
    const wire::KeeperHello& self,
    const std::set<world::Endpoint>& first_set,
    const std::map<world::Endpoint, wire::KeeperHello>& hellos);

/// Returns `members` with one more learner; nothing if the replica, its id or
/// its endpoint is there already.
std::optional<wire::KeeperMembers> WithLearner(
    const wire::KeeperMembers& members,
    const wire::KeeperHello& hello,
    const world::Endpoint& control);

/// Returns `members` without those called `id`; nothing if that changes
/// nothing or would leave no voter.
std::optional<wire::KeeperMembers> Without(const wire::KeeperMembers& members,
                                           const NodeId& id);

}  // namespace ibisvalve::control
