#include "policy/subset.h"

#include <algorithm>
#include <compare>

namespace ibisvalve::policy {
namespace {

struct Ranked {
  uint64_t weight = 0;
  NodeId id;

  auto operator<=>(const Ranked&) const = default;
};

Ranked Rank(const NodeId& ingress, const NodeId& member) {
  return {DigestOf(ingress.value + '\n' + member.value).value, member};
}

}  // namespace

std::vector<NodeId> ChooseSubset(const NodeId& ingress,
                                 const ZoneName& own_zone,
                                 const std::vector<SubsetMember>& members,
                                 size_t size) {
  std::vector<Ranked> own;
  std::vector<Ranked> others;
  for (const SubsetMember& member : members) {
    (member.zone == own_zone ? own : others)
        .push_back(Rank(ingress, member.id));
  }
  std::sort(own.begin(), own.end());
  std::sort(others.begin(), others.end());
  // Either side takes the places that the other cannot fill.
  const size_t half = size - size / 2;
  const size_t from_own = std::min(
      own.size(), std::max(half, size - std::min(size, others.size())));
  const size_t from_others = std::min(others.size(), size - from_own);
  std::vector<NodeId> subset;
  for (size_t i = 0; i < from_own; ++i) {
    subset.push_back(own[i].id);
  }
  for (size_t i = 0; i < from_others; ++i) {
    subset.push_back(others[i].id);
  }
  std::sort(subset.begin(), subset.end());
  return subset;
}

}  // namespace ibisvalve::policy
