#include "policy/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace ibisvalve::policy {
namespace {

constexpr double kTokenHalfLifeSeconds = 10;
constexpr double kMicrosPerSecond = 1e6;

}  // namespace

RetryBudget::RetryBudget(const BudgetSettings& settings)
    : settings_(settings), tokens_(std::min(1.0, settings.burst)) {}

void RetryBudget::Deposit(Time now) {
  Advance(now);
  tokens_ = std::min(settings_.burst, tokens_ + settings_.share);
}

bool RetryBudget::TryTake(Time now) {
  Advance(now);
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

void RetryBudget::Configure(const BudgetSettings& settings) {
  settings_ = settings;
  tokens_ = std::min(tokens_, settings.burst);
}

double RetryBudget::available(Time now) const {
  RetryBudget advanced = *this;
  advanced.Advance(now);
  return advanced.tokens_;
}

void RetryBudget::Advance(Time now) {
  if (now <= advanced_) {
    return;
  }
  const double seconds =
      static_cast<double>((now - advanced_).count()) / kMicrosPerSecond;
  advanced_ = now;
  tokens_ *= std::exp2(-seconds / kTokenHalfLifeSeconds);
  tokens_ =
      std::min(settings_.burst, tokens_ + settings_.min_per_second * seconds);
}

}  // namespace ibisvalve::policy
