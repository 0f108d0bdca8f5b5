#include "policy/rate_limit.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

namespace ibisvalve::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against more requests in some 4 s than a target tolerates: one and a
// half times what its limit allows, and 5 more. The rate may change meanwhile;
// the highest one counts.
RC_GTEST_PROP(RateLimitTest, NoWindowExceedsTheRate, ()) {
  constexpr Duration kWindow = seconds(4);
  ManualClock clock;
  RateLimit limit;
  const double rate = *rc::gen::inRange(1, 400) / 10.0;
  limit.Set(rate, clock.Now());
  std::deque<Time> taken;
  for (int i = 0; i < 2000; ++i) {
    clock.Advance(Duration(*rc::gen::inRange(0, 20'000)));
    if (*rc::gen::inRange(0, 50) == 0) {
      limit.Set(rate * *rc::gen::inRange(5, 11) / 10, clock.Now());
    }
    if (limit.IsAvailable(clock.Now())) {
      limit.Take(clock.Now());
      taken.push_back(clock.Now());
    }
    while (!taken.empty() && taken.front() + kWindow <= clock.Now()) {
      taken.pop_front();
    }
    RC_ASSERT(static_cast<double>(taken.size()) <= 1.5 * 4 * rate + 5);
  }
}

// Guards against a limit that admits fewer requests than the target takes.
TEST(RateLimitTest, AdmitsTheRate) {
  ManualClock clock;
  RateLimit limit;
  limit.Set(10, clock.Now());
  int taken = 0;
  for (int i = 0; i < 4000; ++i) {
    clock.Advance(milliseconds(1));
    if (limit.IsAvailable(clock.Now())) {
      limit.Take(clock.Now());
      ++taken;
    }
  }
  EXPECT_GE(taken, 39);
  EXPECT_LE(taken, 41);
}

// Guards against a queue that promises a start before the rate allows it.
TEST(RateLimitTest, WaitsForThoseAhead) {
  ManualClock clock;
  RateLimit limit;
  EXPECT_EQ(limit.WaitFor(100, clock.Now()), Duration(0));
  limit.Set(2, clock.Now());
  EXPECT_EQ(limit.WaitFor(0, clock.Now()), milliseconds(500) - Duration(1));
  clock.Advance(limit.WaitFor(0, clock.Now()));
  EXPECT_TRUE(limit.IsAvailable(clock.Now()));
  EXPECT_GT(limit.WaitFor(3, clock.Now()), milliseconds(1400));
}

// Guards against arithmetic that overflows for a target that takes nothing.
TEST(RateLimitTest, ARateOfZeroAdmitsNothing) {
  ManualClock clock;
  RateLimit limit;
  limit.Set(0, clock.Now());
  clock.Advance(seconds(1000));
  EXPECT_FALSE(limit.IsAvailable(clock.Now()));
  EXPECT_EQ(limit.WaitFor(5, clock.Now()), std::chrono::hours(1));
  limit.Set(std::nullopt, clock.Now());
  EXPECT_TRUE(limit.IsAvailable(clock.Now()));
}

}  // namespace
}  // namespace ibisvalve::policy
