#include "policy/probe_budget.h"

#include <glog/logging.h>

#include <algorithm>
#include <cmath>

namespace ibisvalve::policy {
namespace {

constexpr double kMicrosPerSecond = 1e6;

}  // namespace

ProbeBudget::ProbeBudget(double per_second) : per_second_(per_second) {
  CHECK_GE(per_second, 0);
}

bool ProbeBudget::TryTake(Time now) {
  if (per_second_ <= 0) {
    ++refused_;
    return false;
  }
  const auto count = static_cast<size_t>(std::max(1.0, per_second_));
  const Duration span(static_cast<int64_t>(
      std::ceil(kMicrosPerSecond *
                std::max(1.0, static_cast<double>(count) / per_second_))));
  while (recent_.size() > count) {
    recent_.pop_front();
  }
  if (recent_.size() == count && now - recent_.front() < span) {
    ++refused_;
    return false;
  }
  recent_.push_back(now);
  ++taken_;
  return true;
}

void ProbeBudget::Configure(double per_second) {
  CHECK_GE(per_second, 0);
  per_second_ = per_second;
}

double ProbeShare(double per_second, uint32_t ingresses) {
  return per_second / std::max(ingresses, 1U);
}

}  // namespace ibisvalve::policy
