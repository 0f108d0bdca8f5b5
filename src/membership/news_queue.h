#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/base.h"
#include "membership/member_table.h"
#include "wire/wire.h"

namespace ibisvalve::membership {

/// Which members changed lately, and how often each change is still to be
/// passed on.
class NewsQueue {
 public:
  /// Queues a change of `id` to be sent `times` times.
  void Add(const NodeId& id, uint32_t times) { left_[id] = times; }
  /// Adds members with changes to `batch`, those sent least often first, as
  /// long as it stays within `max_bytes`.
  void FillBatch(const MemberTable& table,
                 size_t max_bytes,
                 wire::MemberBatch& batch);
  /// Notes that a peer is known to have every change.
  void SentAll();
  /// Returns whether nothing is left to send.
  bool empty() const { return left_.empty(); }
  /// Returns how many changes are queued.
  size_t size() const { return left_.size(); }

 private:
  std::vector<NodeId> InOrder() const;
  void Sent(const NodeId& id);

  std::map<NodeId, uint32_t> left_;
};

}  // namespace ibisvalve::membership
