#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/base.h"
#include "membership/member_table.h"
#include "wire/wire.h"

namespace ibisvalve::membership {

/// Queue of recently changed members, with the number of times that each change
/// is still to be sent.
class UpdateQueue {
 public:
  /// Queues a change of `id` to be sent `times` times.
  void Add(const NodeId& id, uint32_t times) {
    transmissions_left_[id] = times;
  }
  /// Adds changed members to `batch`, those with the most remaining
  /// transmissions first, until the next one would exceed `max_bytes`. Counts
  /// one transmission for each member added and for each that `table` no
  /// longer holds.
  void FillBatch(const MemberTable& table,
                 size_t max_bytes,
                 wire::MemberBatch& batch);
  /// Counts one transmission for every change; to be called when a peer is
  /// found to have them all.
  void CountTransmissionOfAll();
  /// Returns whether no change is queued.
  bool empty() const { return transmissions_left_.empty(); }
  /// Returns the number of queued changes.
  size_t size() const { return transmissions_left_.size(); }

 private:
  std::vector<NodeId> IdsByPriority() const;
  void CountTransmission(const NodeId& id);

  std::map<NodeId, uint32_t> transmissions_left_;
};

}  // namespace ibisvalve::membership
