#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "base/base.h"
#include "world/world.h"

namespace ibisvalve::policy {

/// Token buckets of the workspaces that have a quota. A bucket may go into debt
/// by less than one token, which is then granted for a later time: so a caller
/// that is within its quota waits instead of being refused.
class TokenBuckets {
 public:
  /// Result of Take.
  struct Grant {
    uint32_t tokens = 0;
    Duration delay{0};  // the tokens may be spent after this time
    Duration retry{0};  // until a further token; 0: all were granted

    auto operator<=>(const Grant&) const = default;
  };

  /// Sets the quotas by workspace. Buckets of new workspaces are empty, and
  /// known ones keep their tokens up to the new burst.
  void Configure(const std::map<std::string, world::Quota>& quotas, Time now);
  /// Empties all buckets: another leader may have granted what was in them.
  void Reset(Time now);
  /// Takes up to `wanted` tokens that may be spent within `max_delay`. Grants
  /// all to a workspace without a quota.
  Grant Take(const std::string& workspace,
             uint32_t wanted,
             Duration max_delay,
             Time now);
  /// Returns the number of workspaces with a quota.
  size_t size() const { return buckets_.size(); }

 private:
  struct Bucket {
    world::Quota quota;
    double tokens = 0;
    Time updated{};
  };

  static void Refill(Bucket& bucket, Time now);

  std::map<std::string, Bucket> buckets_;
};

}  // namespace ibisvalve::policy
