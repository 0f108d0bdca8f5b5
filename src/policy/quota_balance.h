#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "base/base.h"

namespace ibisvalve::policy {

/// Tokens of one workspace that a node may spend, and how many it should hold.
/// All times are of a clock that counts while the host is suspended, so that a
/// token does not outlive its validity.
class QuotaBalance {
 public:
  /// Adds tokens that are valid until `expires`.
  void Add(uint32_t tokens, Time expires);
  /// Takes a token. Returns when it expires, or nullopt if there is none.
  std::optional<Time> TryTake(Time now);
  /// Records a request of the workspace.
  void OnRequest(Time now);
  /// Returns how many tokens the node should have in advance: those that it
  /// will need before an answer to its next question arrives.
  uint32_t Wanted(Time now) const;
  /// Returns the number of tokens that can be spent.
  uint32_t tokens(Time now) const;
  /// Records that a leader had no tokens. Nothing is asked for some time.
  void Deny(Time now);
  /// Returns the time until the next question may be asked; 0: now.
  Duration DeniedFor(Time now) const;
  /// Returns whether nothing is known of the workspace any more.
  bool IsIdle(Time now) const;

 private:
  struct Batch {
    uint32_t tokens = 0;
    Time expires{};
  };

  double RateAt(Time now) const;

  std::deque<Batch> batches_;
  double rate_ = 0;  // requests a second at rate_at_
  Time rate_at_{};
  Time denied_until_{};
};

}  // namespace ibisvalve::policy
