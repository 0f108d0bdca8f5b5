#pragma once

#include <algorithm>
#include <cstddef>
#include <set>
#include <utility>

#include "base/base.h"

namespace ibisvalve::membership {

/// Tracks which members have confirmed that they remember the departure of this
/// node's target.
class DepartureCopies {
 public:
  /// Starts to ask `holders`. Without any, the departure counts as confirmed:
  /// nobody could use the target.
  void Start(std::set<NodeId> holders) {
    started_ = true;
    required_ = std::min(kMinCopies, holders.size());
    unconfirmed_ = std::move(holders);
  }
  /// Records the confirmation of a holder. Returns whether it was the one that
  /// completed the required number.
  bool Confirm(const NodeId& holder) {
    if (unconfirmed_.erase(holder) == 0) {
      return false;
    }
    ++copies_;
    return copies_ == required_;
  }
  /// Returns whether enough holders have confirmed.
  bool confirmed() const { return started_ && copies_ >= required_; }
  /// Returns whether holders were asked and not enough of them have confirmed.
  bool pending() const { return started_ && !confirmed(); }
  /// Returns the holders that have not confirmed.
  const std::set<NodeId>& unconfirmed() const { return unconfirmed_; }

 private:
  // Copies that outlive the node's process and one of the holders.
  static constexpr size_t kMinCopies = 2;

  bool started_ = false;
  size_t required_ = 0;
  size_t copies_ = 0;
  std::set<NodeId> unconfirmed_;
};

}  // namespace ibisvalve::membership
