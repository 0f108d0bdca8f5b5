#pragma once

#include <cstddef>
#include <vector>

#include "base/base.h"

namespace ibisvalve::policy {

/// A target that a subset may hold.
struct SubsetMember {
  NodeId id;
  ZoneName zone;

  auto operator<=>(const SubsetMember&) const = default;
};

/// Returns up to `size` of `members` for the ingress `ingress` in `own_zone`,
/// sorted by id: the same whatever the order of `members`. Half of the places
/// go to the own zone where it has as many; the rest go to the other zones.
/// A member that comes or goes changes at most one place. Chosen by rendezvous
/// hashing, so that ingresses spread over the members.
std::vector<NodeId> ChooseSubset(const NodeId& ingress,
                                 const ZoneName& own_zone,
                                 const std::vector<SubsetMember>& members,
                                 size_t size);

}  // namespace ibisvalve::policy
