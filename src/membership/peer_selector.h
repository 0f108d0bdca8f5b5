#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "membership/member_table.h"

namespace ibisvalve::membership {

/// Selects peers: each one in turn from a shuffled list, or a few at random.
class PeerSelector {
 public:
  /// Selects peers for the node `self`. `seed` initializes the random choice.
  PeerSelector(const NodeId& self, uint64_t seed)
      : self_(self), random_(seed) {}

  /// Inserts a new member at a random position of the list; ignores `self`.
  void Add(const NodeId& id);
  /// Returns the next live member of the list, or null if there is none.
  /// Reshuffles the list when its end is reached.
  const world::Member* Next(const MemberTable& table);
  /// Returns up to `count` different live members other than `except` and
  /// `self`, from a random position of the list on.
  std::vector<const world::Member*> Sample(const MemberTable& table,
                                           size_t count,
                                           const NodeId& except);
  /// Returns a random number from 0 to `bound` - 1.
  size_t RandomBelow(size_t bound) { return random_() % bound; }

 private:
  void Shuffle(const MemberTable& table);

  NodeId self_;
  std::mt19937_64 random_;
  std::vector<NodeId> ids_;
  size_t position_ = 0;
};

}  // namespace ibisvalve::membership
