#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

#include "policy/policy.h"

namespace ibisvalve::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Generates pairs of a time step in milliseconds and the action after it.
rc::Gen<std::vector<std::pair<int, bool>>> AnySteps() {
  return rc::gen::container<std::vector<std::pair<int, bool>>>(rc::gen::pair(
      rc::gen::element(0, 0, 1, 5, 90, 700), rc::gen::arbitrary<bool>()));
}

RC_GTEST_PROP(RetryBudgetProperty, IsNeverExceededInAnyWindow, ()) {
  const BudgetSettings settings{*rc::gen::element(0.0, 0.1, 0.5),
                                *rc::gen::element(0.0, 1.0, 5.0),
                                *rc::gen::element(0.0, 0.5)};
  RetryBudget budget(settings);
  struct Taken {
    Time at;
    uint64_t earned_before;
  };
  std::vector<Taken> taken;
  uint64_t earned = 0;
  Time now{seconds(1)};
  for (const auto& [step, earn] : *AnySteps()) {
    now += milliseconds(step);
    if (earn) {
      budget.Deposit(now);
      ++earned;
    } else if (budget.TryTake(now)) {
      taken.push_back({now, earned});
    }
  }
  for (size_t from = 0; from < taken.size(); ++from) {
    for (size_t to = from; to < taken.size(); ++to) {
      const double span =
          static_cast<double>((taken[to].at - taken[from].at).count()) / 1e6;
      const auto paid = static_cast<double>(taken[to].earned_before -
                                            taken[from].earned_before);
      const double bound = settings.burst + settings.share * paid +
                           settings.min_per_second * span;
      RC_ASSERT(static_cast<double>(to - from + 1) <= bound + 1e-6);
    }
  }
}

TEST(RetryBudgetTest, GrantsAShareAndDecaysOldTokens) {
  RetryBudget budget({0.1, 10, 0});
  Time now{seconds(1)};
  int taken = 0;
  for (int i = 0; i < 1000; ++i) {
    now += milliseconds(1);
    budget.Deposit(now);
    taken += budget.TryTake(now) ? 1 : 0;
  }
  EXPECT_NEAR(taken, 100, 5);
  for (int i = 0; i < 200; ++i) {
    budget.Deposit(now);
  }
  EXPECT_GT(budget.available(now), 9);
  EXPECT_LT(budget.available(now + seconds(60)), 0.5);
}

RC_GTEST_PROP(ProbeBudgetProperty, IsNeverExceededInAnySecond, ()) {
  const double rate = *rc::gen::element(0.0, 0.5, 1.0, 2.0, 2.5, 7.0);
  ProbeBudget budget(rate);
  std::vector<Time> taken;
  Time now{seconds(1)};
  for (const auto& [step, unused] : *AnySteps()) {
    now += milliseconds(step);
    if (budget.TryTake(now)) {
      taken.push_back(now);
    }
  }
  RC_ASSERT(budget.taken() == taken.size());
  const double span = rate > 0 && rate < 1 ? 1 / rate : 1;
  for (const Time start : taken) {
    const auto in_window =
        std::count_if(taken.begin(), taken.end(), [&](Time at) {
          return at >= start &&
                 at < start + Duration(static_cast<int64_t>(span * 1e6));
        });
    RC_ASSERT(static_cast<double>(in_window) <= std::max(rate * span, 0.0));
  }
}

TEST(ProbeBudgetTest, GrantsTheFullRateOnDemand) {
  ProbeBudget budget(4);
  int taken = 0;
  for (int i = 0; i < 10'000; ++i) {
    taken += budget.TryTake(Time{seconds(1) + milliseconds(i)}) ? 1 : 0;
  }
  EXPECT_EQ(taken, 40);
  EXPECT_EQ(budget.refused(), 10'000U - 40U);
  EXPECT_EQ(ProbeShare(4, 8), 0.5);
}

TEST(LatencyQuantileTest, IsAccurateAndDropsOldSamples) {
  LatencyQuantile quantile(seconds(5));
  Time now{seconds(100)};
  EXPECT_EQ(quantile.At(0.5, 1, now), std::nullopt);
  for (int i = 1; i <= 1000; ++i) {
    quantile.Add(Duration(i * 100), now);
  }
  for (const double share : {0.5, 0.95, 0.99}) {
    const auto at = quantile.At(share, 100, now);
    ASSERT_TRUE(at.has_value());
    EXPECT_GE(at->count(), share * 100'000 - 100);
    EXPECT_LE(at->count(), share * 100'000 * 1.11);
  }
  EXPECT_EQ(quantile.At(0.5, 1001, now), std::nullopt);
  EXPECT_TRUE(quantile.At(0.5, 1, now + seconds(6)).has_value());
  EXPECT_EQ(quantile.At(0.5, 1, now + seconds(12)), std::nullopt);
}

TEST(HedgeTest, DelayIsTheQuantileBoundedByTheMedian) {
  Hedge hedge;
  const Time now{seconds(100)};
  EXPECT_EQ(hedge.Delay(now), std::nullopt);
  for (int i = 0; i < 90; ++i) {
    hedge.OnAnswer(milliseconds(5), now);
  }
  const auto usual = hedge.Delay(now);
  ASSERT_TRUE(usual.has_value());
  EXPECT_NEAR(static_cast<double>(usual->count()), 5000, 600);
  for (int i = 0; i < 10; ++i) {
    hedge.OnAnswer(milliseconds(500), now);
  }
  EXPECT_LE(*hedge.Delay(now), milliseconds(17));
}

TEST(HedgeTest, StaysWithinItsBudget) {
  Hedge hedge;
  Time now{seconds(100)};
  int taken = 0;
  constexpr int kRequests = 10'000;
  for (int i = 0; i < kRequests; ++i) {
    now += milliseconds(1);
    hedge.OnRequest(now);
    taken += hedge.TryTake(now) ? 1 : 0;
  }
  EXPECT_LE(taken, kRequests * 0.05 + 10);
  EXPECT_GT(taken, kRequests * 0.045);
  HedgeSettings none;
  none.budget = 0;
  hedge.Configure(none);
  EXPECT_FALSE(hedge.TryTake(now));
}

}  // namespace
}  // namespace ibisvalve::policy
