#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "membership/member_table.h"

namespace ibisvalve::membership {

/// Chooses peers: each in turn over a shuffled list, or a few at random.
class PeerOrder {
 public:
  /// Chooses for the node `self`; `seed` makes the choices.
  PeerOrder(const NodeId& self, uint64_t seed) : self_(self), random_(seed) {}

  /// Notes a member that may be new.
  void Add(const NodeId& id);
  /// Returns the next live member in turn, or null when there is none.
  const world::Member* Next(const MemberTable& table);
  /// Returns up to `count` different live members, without `except`.
  std::vector<const world::Member*> Some(const MemberTable& table,
                                         size_t count,
                                         const NodeId& except);
  /// Returns a number from 0 to `bound` - 1.
  size_t Below(size_t bound) { return random_() % bound; }

 private:
  void Shuffle(const MemberTable& table);

  NodeId self_;
  std::mt19937_64 random_;
  std::vector<NodeId> ids_;
  size_t position_ = 0;
};

}  // namespace ibisvalve::membership
