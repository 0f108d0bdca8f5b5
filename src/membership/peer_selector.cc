#include "membership/peer_selector.h"

#include <algorithm>
#include <utility>

namespace ibisvalve::membership {

void PeerSelector::Add(const NodeId& id) {
  if (id != self_) {
    ids_.push_back(id);
    std::swap(ids_.back(), ids_[RandomBelow(ids_.size())]);
  }
}

const world::Member* PeerSelector::Next(const MemberTable& table) {
  // The first pass covers only the rest of the current list, which may hold no
  // live member. The second pass covers the whole list, shuffled again.
  for (int pass = 0; pass < 2; ++pass) {
    while (position_ < ids_.size()) {
      const world::Member* member = table.Find(ids_[position_++]);
      if (member != nullptr && IsLive(*member)) {
        return member;
      }
    }
    Shuffle(table);
  }
  return nullptr;
}

std::vector<const world::Member*> PeerSelector::Sample(const MemberTable& table,
                                                       size_t count,
                                                       const NodeId& except) {
  std::vector<const world::Member*> chosen;
  if (ids_.empty()) {
    return chosen;
  }
  const size_t start = RandomBelow(ids_.size());
  for (size_t i = 0; i < ids_.size() && chosen.size() < count; ++i) {
    const world::Member* member = table.Find(ids_[(start + i) % ids_.size()]);
    const bool fits =
        member != nullptr && IsLive(*member) && member->id != except &&
        member->id != self_ &&
        std::find(chosen.begin(), chosen.end(), member) == chosen.end();
    if (fits) {
      chosen.push_back(member);
    }
  }
  return chosen;
}

void PeerSelector::Shuffle(const MemberTable& table) {
  ids_.clear();
  position_ = 0;
  for (const auto& [id, member] : table.members()) {
    if (id != self_ && IsLive(member)) {
      ids_.push_back(id);
    }
  }
  std::shuffle(ids_.begin(), ids_.end(), random_);
}

}  // namespace ibisvalve::membership
