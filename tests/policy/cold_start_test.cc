#include <gtest/gtest.h>

#include "policy/policy.h"

namespace ibisvalve::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a missing estimate after a power failure of all hosts: no kind
// of request has a known service time, and every target is slow at first.
TEST(ColdStartTest, EstimatesServiceTimeFromTheFirstSlowedRun) {
  ServiceTimeEstimate estimate;
  EXPECT_EQ(estimate.estimate(), Duration(0));
  EXPECT_EQ(estimate.ExpectedFor(milliseconds(600)), milliseconds(200));
  estimate.Add(milliseconds(320), 2, RunResult::kSucceeded);
  EXPECT_EQ(estimate.estimate(), milliseconds(160));
  EXPECT_EQ(estimate.ExpectedFor(milliseconds(600)), milliseconds(160));
}

TEST(ColdStartTest, IgnoresSlowedRunsAfterEnoughUndisturbedOnes) {
  ServiceTimeEstimate estimate;
  for (int i = 0; i < 20; ++i) {
    estimate.Add(milliseconds(160), 1, RunResult::kSucceeded);
  }
  // Part of a run, such as calls to other services, is not slowed with the
  // host, so dividing by the slowdown underestimates the service time.
  for (int i = 0; i < 20; ++i) {
    estimate.Add(milliseconds(300), 7, RunResult::kSucceeded);
  }
  EXPECT_EQ(estimate.estimate(), milliseconds(160));
}

// Guards against counting a slowdown twice: runs that take as long as expected
// from the reported slowdown must not raise the pace.
TEST(ColdStartTest, AReportedSlowdownDoesNotRaiseThePace) {
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

// Guards against avoiding a target for good: one that was slow without
// reporting it gets no requests, so no run can show its recovery.
TEST(ColdStartTest, PaceDecaysWithoutRuns) {
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
