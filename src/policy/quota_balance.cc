#include "policy/quota_balance.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace ibisvalve::policy {
namespace {

constexpr double kRateHalfLifeS = 1;
// Tokens that are held in advance and not spent are lost to other nodes.
constexpr double kHeldInAdvanceS = 0.1;
// Bounds how often a node of a workspace over its quota asks the keepers.
constexpr Duration kDenial = std::chrono::milliseconds(20);
constexpr double kIdleRate = 0.01;

}  // namespace

void QuotaBalance::Add(uint32_t tokens, Time expires) {
  if (tokens > 0) {
    batches_.push_back({tokens, expires});
  }
}

std::optional<Time> QuotaBalance::TryTake(Time now) {
  std::erase_if(batches_,
                [&](const Batch& batch) { return batch.expires <= now; });
  const auto first = std::min_element(
      batches_.begin(), batches_.end(),
      [](const Batch& a, const Batch& b) { return a.expires < b.expires; });
  if (first == batches_.end()) {
    return std::nullopt;
  }
  const Time expires = first->expires;
  if (--first->tokens == 0) {
    batches_.erase(first);
  }
  return expires;
}

void QuotaBalance::OnRequest(Time now) {
  rate_ = RateAt(now) + std::log(2.0) / kRateHalfLifeS;
  rate_at_ = now;
}

uint32_t QuotaBalance::Wanted(Time now) const {
  const auto wanted = static_cast<uint32_t>(RateAt(now) * kHeldInAdvanceS);
  return wanted - std::min(wanted, tokens(now));
}

uint32_t QuotaBalance::tokens(Time now) const {
  uint32_t tokens = 0;
  for (const Batch& batch : batches_) {
    tokens += batch.expires > now ? batch.tokens : 0;
  }
  return tokens;
}

void QuotaBalance::Deny(Time now) {
  denied_until_ = now + kDenial;
}

Duration QuotaBalance::DeniedFor(Time now) const {
  return std::max(denied_until_ - now, Duration(0));
}

bool QuotaBalance::IsIdle(Time now) const {
  return tokens(now) == 0 && DeniedFor(now) == Duration(0) &&
         RateAt(now) < kIdleRate;
}

double QuotaBalance::RateAt(Time now) const {
  const double seconds =
      std::chrono::duration<double>(std::max(now - rate_at_, Duration(0)))
          .count();
  return rate_ * std::exp2(-seconds / kRateHalfLifeS);
}

}  // namespace ibisvalve::policy
