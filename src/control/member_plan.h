#pragma once

#include <map>
#include <optional>
#include <set>

#include "control/replica.h"
#include "wire/wire.h"

namespace ibisvalve::control {

/// Inputs of the leader for deciding on the next membership change.
struct GroupView {
  wire::KeeperMembers members;
  std::map<world::Endpoint, wire::KeeperHello>
      hellos;  // of keepers that answer
  std::map<wire::ReplicaId, PeerProgress> peers;
  uint64_t commit = 0;
  Duration election_timeout{0};  // a peer silent for this long is not caught up
  std::set<world::Endpoint> discovered{};  // endpoints of keepers that may join
  bool replaces_dead_members = false;
  // With `replaces_dead_members`, a dead voter is removed only if
  // 2 * tolerated_disk_losses + 1 voters remain, counting a learner that can
  // replace it.
  uint32_t tolerated_disk_losses = 1;
  std::set<wire::ReplicaId>
      leaving{};  // keepers whose process is being stopped
  // Endpoints of keepers that announced their departure and have not started
  // again.
  std::set<world::Endpoint> departed{};
};

/// Returns the members after the next single change that the group needs, or
/// nothing if it needs none. A keeper that returned without its data is added
/// as a learner; so is a discovered keeper. A learner that has caught up first
/// replaces the former member at its endpoint and then becomes a voter. With
/// `replaces_dead_members`, dead members and voters that are leaving are
/// removed, as far as enough voters remain. Pure.
std::optional<wire::KeeperMembers> NextMembers(const GroupView& view, Time now);

/// Returns whether the process of `replica`, which is leaving, may end:
/// kRetry if NextMembers is going to remove it from the voters. `view` must
/// have no uncommitted membership change. Pure.
wire::LeaveResult ResultOfLeaving(const GroupView& view,
                                  wire::ReplicaId replica);

/// Returns the members of a new group if this keeper may found it now: its
/// endpoint is the first of `first_set`, all the others answer and may found a
/// group, and none belongs to a group yet.
std::optional<wire::KeeperMembers> FoundingMembers(
    const wire::KeeperHello& self,
    const std::set<world::Endpoint>& first_set,
    const std::map<world::Endpoint, wire::KeeperHello>& hellos);

/// Returns `members` with one more learner, or nothing if the replica, its id
/// or its endpoint is already a member.
std::optional<wire::KeeperMembers> WithLearner(
    const wire::KeeperMembers& members,
    const wire::KeeperHello& hello,
    const world::Endpoint& control);

/// Returns `members` without the member named `id`, or nothing if not exactly
/// one member has that id or no voter would remain.
std::optional<wire::KeeperMembers> WithoutMember(
    const wire::KeeperMembers& members,
    const NodeId& id);

}  // namespace ibisvalve::control
