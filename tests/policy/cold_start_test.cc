#include <gtest/gtest.h>

#include "policy/policy.h"

namespace ibisvalve::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Pattern: all hosts lost their power and came back together. Nothing is known
// of any kind of request, and every target is slow for its first seconds.
TEST(ColdStartTest, WorkIsKnownFromTheFirstRunAtAColdTarget) {
  WorkEstimate work;
  EXPECT_EQ(work.usual(), Duration(0));
  EXPECT_EQ(work.ExpectedFor(milliseconds(600)), milliseconds(200));
  work.Add(milliseconds(320), 2, RunEnd::kWell);
  EXPECT_EQ(work.usual(), milliseconds(160));
  EXPECT_EQ(work.ExpectedFor(milliseconds(600)), milliseconds(160));
}

TEST(ColdStartTest, SlowedRunsNoLongerCountOnceEnoughOthersAreKnown) {
  WorkEstimate work;
  for (int i = 0; i < 20; ++i) {
    work.Add(milliseconds(160), 1, RunEnd::kWell);
  }
  // Part of a run, such as its calls, is not slowed along with its host.
  for (int i = 0; i < 20; ++i) {
    work.Add(milliseconds(300), 7, RunEnd::kWell);
  }
  EXPECT_EQ(work.usual(), milliseconds(160));
}

// Pattern: a host is slowed for a second and tells so. Its runs take as long as
// that makes expect; its pace afterwards is the usual one.
TEST(ColdStartTest, AToldSlowdownIsNotTakenForASlowTarget) {
  PaceMeter meter;
  Time now(seconds(100));
  for (uint64_t i = 0; i < 20; ++i) {
    const AttemptId id{Incarnation(1), i};
    meter.Begin(id, milliseconds(7 * 160), now);
    now += milliseconds(7 * 160);
    meter.End(id, true, now);
  }
  EXPECT_EQ(meter.Pace(now), 1);
}

// Pattern: a target was slow without a word and got no more work for it.
TEST(ColdStartTest, ASlowPaceFadesWithoutRuns) {
  PaceMeter meter;
  Time now(seconds(100));
  for (uint64_t i = 0; i < 40; ++i) {
    const AttemptId id{Incarnation(1), i};
    meter.Begin(id, milliseconds(100), now);
    now += milliseconds(700);
    meter.End(id, true, now);
  }
  EXPECT_GT(meter.Pace(now), 3);
  EXPECT_LT(meter.Pace(now + seconds(1)), 2.5);
  EXPECT_EQ(meter.Pace(now + seconds(10)), 1);
}

}  // namespace
}  // namespace ibisvalve::policy
