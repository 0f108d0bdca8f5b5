#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/base.h"

namespace ibisvalve::membership {

/// Which members changed lately, and how often each change is still to be
/// passed on.
class NewsQueue {
 public:
  /// Queues a change of `id` to be sent `times` times.
  void Add(const NodeId& id, uint32_t times) { left_[id] = times; }
  /// Returns the changes, those sent least often first.
  std::vector<NodeId> Pick() const;
  /// Notes that the change of `id` was sent once.
  void Sent(const NodeId& id);
  /// Notes that a peer is known to have every change.
  void SentAll();
  /// Returns whether nothing is left to send.
  bool empty() const { return left_.empty(); }
  /// Returns how many changes are queued.
  size_t size() const { return left_.size(); }

 private:
  std::map<NodeId, uint32_t> left_;
};

}  // namespace ibisvalve::membership
