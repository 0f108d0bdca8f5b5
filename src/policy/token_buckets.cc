#include "policy/token_buckets.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace ibisvalve::policy {
namespace {

// A bucket that cannot hold a whole token would never grant one.
constexpr double kMinCapacity = 1;
// Tokens that a bucket holds beyond the burst. The requests of a small
// workspace arrive unevenly, so that some of them would be refused although it
// is well below its rate. The bound on the requests in 5 s has 20 to spare, of
// which this, the token in debt and the rounding use up less.
constexpr double kUnevenness = 12;
// Rounding must not keep back a token that is due.
constexpr double kTolerance = 1e-9;
constexpr Duration kMaxWait = std::chrono::hours(1);

// Returns the time in which `tokens` are added at `per_second`.
Duration TimeFor(double tokens, double per_second) {
  const double seconds = std::max(tokens, 0.0) / per_second;
  return seconds >= std::chrono::duration<double>(kMaxWait).count()
             ? kMaxWait
             : std::chrono::ceil<Duration>(
                   std::chrono::duration<double>(seconds));
}

}  // namespace

void TokenBuckets::Configure(const std::map<std::string, world::Quota>& quotas,
                             Time now) {
  std::erase_if(buckets_, [&](const auto& entry) {
    return !quotas.contains(entry.first);
  });
  for (const auto& [workspace, quota] : quotas) {
    const auto [entry, added] =
        buckets_.try_emplace(workspace, Bucket{quota, 0, now});
    Refill(entry->second, now);
    entry->second.quota = quota;
    Refill(entry->second, now);
  }
}

void TokenBuckets::Reset(Time now) {
  for (auto& [workspace, bucket] : buckets_) {
    bucket.tokens = 0;
    bucket.updated = now;
  }
}

TokenBuckets::Grant TokenBuckets::Take(const std::string& workspace,
                                       uint32_t wanted,
                                       Duration max_delay,
                                       Time now) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end()) {
    return {wanted, Duration(0), Duration(0)};
  }
  Bucket& bucket = found->second;
  Refill(bucket, now);
  const double rate = bucket.quota.per_second;
  const double whole = std::floor(std::max(bucket.tokens, 0.0) + kTolerance);
  Grant grant;
  grant.tokens = static_cast<uint32_t>(std::min<double>(wanted, whole));
  bucket.tokens -= grant.tokens;
  if (grant.tokens < wanted && grant.tokens == 0 && bucket.tokens >= 0) {
    const Duration delay = TimeFor(1 - bucket.tokens, rate);
    if (delay <= max_delay) {
      grant.tokens = 1;
      grant.delay = delay;
      bucket.tokens -= 1;
    }
  }
  if (grant.tokens < wanted) {
    grant.retry = std::max(TimeFor(1 - bucket.tokens, rate), Duration(1));
  }
  return grant;
}

void TokenBuckets::Refill(Bucket& bucket, Time now) {
  const double seconds =
      std::chrono::duration<double>(std::max(now - bucket.updated, Duration(0)))
          .count();
  bucket.tokens =
      std::min(bucket.tokens + bucket.quota.per_second * seconds,
               std::max(bucket.quota.burst, kMinCapacity) + kUnevenness);
  bucket.updated = std::max(bucket.updated, now);
}

}  // namespace ibisvalve::policy
