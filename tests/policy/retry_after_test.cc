#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "policy/policy.h"

namespace ibisvalve::policy {
namespace {

using std::chrono::milliseconds;

// Guards against synchronized retries of callers that are refused together.
TEST(RetryAfterTest, SpreadsRetriesOfCallersRefusedTogether) {
  Random random(1);
  std::vector<Duration> times;
  for (int i = 0; i < 1000; ++i) {
    const auto time = RetryAfter({milliseconds(1000)}, random);
    ASSERT_TRUE(time);
    times.push_back(*time);
  }
  const auto [soonest, latest] =
      std::minmax_element(times.begin(), times.end());
  EXPECT_GE(*soonest, milliseconds(50));
  EXPECT_LT(*soonest, milliseconds(60));
  EXPECT_GT(*latest, milliseconds(290));
  EXPECT_LE(*latest, milliseconds(300));
}

TEST(RetryAfterTest, ReturnsNulloptWithoutEnoughTimeLeft) {
  Random random(1);
  EXPECT_EQ(RetryAfter({milliseconds(160)}, random), std::nullopt);
  EXPECT_EQ(RetryAfter({milliseconds(-5)}, random), std::nullopt);
}

// Pattern: a burst fills all targets of a service with an objective of 200 ms
// for a moment. A caller that returns in a third of its deadline is late.
TEST(RetryAfterTest, ACallerReturnsInTimeForItsObjective) {
  Random random(1);
  for (int i = 0; i < 1000; ++i) {
    const auto time = RetryAfter(
        {milliseconds(480), milliseconds(185), milliseconds(60)}, random);
    ASSERT_TRUE(time);
    EXPECT_GE(*time, milliseconds(50));
    EXPECT_LE(*time, milliseconds(100));
  }
}

TEST(RetryAfterTest, ACallerThatIsLateAnywayMayReturnAtAnyTime) {
  Random random(1);
  Duration latest{0};
  for (int i = 0; i < 1000; ++i) {
    latest = std::max(latest, *RetryAfter({milliseconds(1000), milliseconds(20),
                                           milliseconds(60)},
                                          random));
  }
  EXPECT_GT(latest, milliseconds(290));
}

TEST(HedgeDelayForTest, LeavesEnoughTimeForTheSecondAttempt) {
  EXPECT_EQ(HedgeDelayFor(milliseconds(100), milliseconds(500)),
            milliseconds(370));
  EXPECT_EQ(HedgeDelayFor(milliseconds(100), milliseconds(150)),
            milliseconds(120));
}

}  // namespace
}  // namespace ibisvalve::policy
