#include <gtest/gtest.h>

#include <map>

#include "policy/policy.h"

namespace ibisvalve::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kNow = Time(seconds(100));

Candidate MakeCandidate(const std::string& id, bool same_zone) {
  Candidate candidate;
  candidate.id = NodeId(id);
  candidate.same_zone = same_zone;
  candidate.slots = 18;
  candidate.hint_limit = 18;
  candidate.hint_time = kNow;
  return candidate;
}

RequestTerms LookupTerms() {
  return {milliseconds(500), milliseconds(1200), milliseconds(160), 2.5};
}

std::map<size_t, int> CountChoices(const std::vector<Candidate>& candidates,
                                   const RequestTerms& terms) {
  Random random(20261204);
  std::map<size_t, int> counts;
  for (int i = 0; i < 1000; ++i) {
    ++counts
        [ExpectedValueChooser().Choose(candidates, terms, kNow, random).index];
  }
  return counts;
}

// Guards against sending requests to hosts that are slowed down by neighbours
// for a second or two.
TEST(ExpectedValueTest, AvoidsSlowedHosts) {
  std::vector<Candidate> candidates = {MakeCandidate("a", true),
                                       MakeCandidate("b", true),
                                       MakeCandidate("c", false)};
  candidates[0].slowdown = candidates[1].slowdown = 7;
  EXPECT_EQ(CountChoices(candidates, LookupTerms())[2], 1000);
}

// Guards against cross-zone uploads whose transfer cost outweighs the gain.
TEST(ExpectedValueTest, AnUploadStaysInItsZoneUnlessItWouldBeLate) {
  RequestTerms upload = LookupTerms();
  upload.transfer_kib = 60;
  std::vector<Candidate> candidates = {MakeCandidate("a", true),
                                       MakeCandidate("c", false)};
  candidates[0].hint_in_flight = 14;
  EXPECT_EQ(CountChoices(candidates, upload)[0], 1000);
  candidates[0].slowdown = 7;
  EXPECT_EQ(CountChoices(candidates, upload)[1], 1000);
}

// Load: large uploads on an idle fleet whose only target is in another zone.
// Guards against a cost of the network that refuses a caller.
TEST(ExpectedValueTest, ALargeUploadIsSentToTheOnlyTarget) {
  const std::vector<Candidate> candidates = {MakeCandidate("c", false)};
  Random random(1);
  for (const double kib : {64.0, 256.0, 12.0 * 1024}) {
    RequestTerms upload = LookupTerms();
    upload.transfer_kib = kib;
    const ExpectedValueChooser chooser;
    EXPECT_TRUE(
        chooser.IsWorthTrying(chooser.Choose(candidates, upload, kNow, random)))
        << kib;
  }
}

// Guards against a request that is sent although it cannot be answered in time,
// now that costs have no part in this.
TEST(ExpectedValueTest, ARequestThatCannotBeInTimeIsNotSent) {
  RequestTerms late = LookupTerms();
  late.objective_left = milliseconds(10);
  late.deadline_left = milliseconds(60);
  const std::vector<Candidate> candidates = {MakeCandidate("a", true)};
  Random random(1);
  const ExpectedValueChooser chooser;
  EXPECT_FALSE(
      chooser.IsWorthTrying(chooser.Choose(candidates, late, kNow, random)));
}

// Guards against herding: many ingresses choose by the same hints.
TEST(ExpectedValueTest, DrawsEqualTargetsByFreeSlots) {
  std::vector<Candidate> candidates = {MakeCandidate("a", true),
                                       MakeCandidate("b", true)};
  candidates[0].hint_in_flight = 2;
  candidates[1].hint_in_flight = 0;
  const auto counts = CountChoices(candidates, LookupTerms());
  EXPECT_GT(counts.at(0), 350);
  EXPECT_GT(counts.at(1), 350);
}

// Guards against preferring a target that reports good health but fails some of
// its requests.
TEST(ExpectedValueTest, AvoidsTargetsThatFail) {
  std::vector<Candidate> candidates = {MakeCandidate("a", true),
                                       MakeCandidate("c", false)};
  candidates[0].hint_failure_share = 0.4;
  EXPECT_EQ(CountChoices(candidates, LookupTerms())[1], 1000);
}

TEST(ExpectedValueTest, AvoidsFullTargets) {
  std::vector<Candidate> candidates = {MakeCandidate("a", true),
                                       MakeCandidate("c", false)};
  candidates[0].hint_in_flight = 18;
  candidates[0].hint_queued = 30;
  EXPECT_EQ(CountChoices(candidates, LookupTerms())[1], 1000);
}

TEST(ExpectedValueTest, ReportsWhetherThereIsAnAlternative) {
  std::vector<Candidate> candidates = {MakeCandidate("a", true),
                                       MakeCandidate("c", false)};
  Random random(7);
  const ExpectedValueChooser chooser;
  EXPECT_TRUE(
      chooser.Choose(candidates, LookupTerms(), kNow, random).has_alternative);
  candidates[1].slowdown = 7;
  EXPECT_FALSE(
      chooser.Choose(candidates, LookupTerms(), kNow, random).has_alternative);
}

TEST(ServiceTimeEstimateTest, UsesUndisturbedRunsOnly) {
  ServiceTimeEstimate estimate;
  for (int i = 0; i < 50; ++i) {
    estimate.Add(milliseconds(160), 1.0, RunResult::kSucceeded);
    estimate.Add(milliseconds(1120), 7.0, RunResult::kSucceeded);
  }
  EXPECT_EQ(estimate.estimate(), milliseconds(160));
  estimate.Add(seconds(5), 1.0, RunResult::kSucceeded);
  EXPECT_LT(estimate.estimate(), milliseconds(200));
}

// Guards against a low estimate from a target that fails most runs immediately
// while its health checks pass.
TEST(ServiceTimeEstimateTest, IgnoresFailedRuns) {
  ServiceTimeEstimate estimate;
  for (int i = 0; i < 50; ++i) {
    estimate.Add(milliseconds(160), 1.0, RunResult::kSucceeded);
    estimate.Add(milliseconds(2), 1.0, RunResult::kFailed);
  }
  EXPECT_EQ(estimate.estimate(), milliseconds(160));
}

// Guards against late detection of a target that becomes five times slower
// without reporting it.
TEST(PaceMeterTest, DetectsASlowTargetBeforeItsRunsEnd) {
  PaceMeter meter;
  Time now = kNow;
  for (uint64_t i = 1; i <= 40; ++i) {
    const AttemptId id{Incarnation(1), i};
    meter.Begin(id, milliseconds(100), now);
    now += milliseconds(110);
    meter.End(id, true, now);
  }
  EXPECT_EQ(meter.Pace(now), 1);
  for (uint64_t i = 100; i < 110; ++i) {
    meter.Begin({Incarnation(1), i}, milliseconds(100), now);
  }
  EXPECT_EQ(meter.Pace(now + milliseconds(50)), 1);
  EXPECT_GT(meter.Pace(now + milliseconds(250)), 2);
}

TEST(PaceMeterTest, ACancelledRunDoesNotLowerThePace) {
  PaceMeter meter;
  for (uint64_t i = 1; i <= 40; ++i) {
    const AttemptId id{Incarnation(1), i};
    meter.Begin(id, milliseconds(100), kNow);
    meter.End(id, true, kNow + milliseconds(500));
  }
  const double slow = meter.Pace(kNow);
  for (uint64_t i = 50; i <= 90; ++i) {
    const AttemptId id{Incarnation(1), i};
    meter.Begin(id, milliseconds(100), kNow);
    meter.End(id, false, kNow + milliseconds(5));
  }
  EXPECT_EQ(meter.Pace(kNow), slow);
}

}  // namespace
}  // namespace ibisvalve::policy
