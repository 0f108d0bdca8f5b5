#pragma once

#include <cstddef>
#include <vector>

#include "base/base.h"

namespace ibisvalve::policy {

/// A target that can be in a subset.
struct SubsetMember {
  NodeId id;
  ZoneName zone;

  auto operator<=>(const SubsetMember&) const = default;
};

/// Returns up to `size` of `members` for the ingress `ingress` in `own_zone`,
/// sorted by id, independent of the order of `members`. Half of them, rounded
/// up, are from `own_zone` and the rest from other zones; if one side has too
/// few, the other supplies more. Uses rendezvous hashing, so that the subsets
/// of different ingresses are spread evenly, and a member that joins or leaves
/// changes at most one entry of a subset.
std::vector<NodeId> ChooseSubset(const NodeId& ingress,
                                 const ZoneName& own_zone,
                                 const std::vector<SubsetMember>& members,
                                 size_t size);

}  // namespace ibisvalve::policy
