#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <random>
#include <set>
#include <vector>

#include "policy/policy.h"

namespace ibisvalve::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kService = milliseconds(5);

AttemptId MakeId(uint64_t counter) {
  return {Incarnation(1), counter};
}

AdmissionSettings SettingsWithSlots(uint32_t slots) {
  AdmissionSettings settings;
  settings.slots = slots;
  return settings;
}

// Runs `count` requests in sequence with a service time of `service` each, and
// returns the time of the last end.
Time RunSequentially(Admission& admission,
                     Time now,
                     Duration service,
                     int count) {
  for (int i = 0; i < count; ++i) {
    const AttemptId id = MakeId(1'000'000 + static_cast<uint64_t>(i));
    EXPECT_EQ(admission.Arrive(id, now + seconds(60), now).admit, Admit::kRun);
    now += service;
    admission.Finish(id, service, RunResult::kSucceeded, now);
  }
  return now;
}

TEST(AdmissionTest, RunsUpToItsSlotsThenQueuesThenRefuses) {
  AdmissionSettings settings = SettingsWithSlots(2);
  settings.max_queue = 1;
  Admission admission(settings);
  const Time now{seconds(1)};
  const Time deadline = now + seconds(1);
  EXPECT_EQ(admission.Arrive(MakeId(1), deadline, now).admit, Admit::kRun);
  EXPECT_EQ(admission.Arrive(MakeId(2), deadline, now).admit, Admit::kRun);
  EXPECT_EQ(admission.Arrive(MakeId(3), deadline, now).admit, Admit::kQueue);
  EXPECT_EQ(admission.Arrive(MakeId(4), deadline, now),
            (Admission::Decision{Admit::kRefuse, world::Reason::kBusy}));
  const auto released =
      admission.Finish(MakeId(1), kService, RunResult::kSucceeded, now);
  EXPECT_EQ(released, (std::vector<Admission::Release>{
                          {MakeId(3), {Admit::kRun, world::Reason::kNone}}}));
  EXPECT_EQ(admission.in_flight(), 2U);
  EXPECT_EQ(admission.queued(), 0U);
}

TEST(AdmissionTest, RefusesRequestsThatCannotMeetTheirDeadline) {
  Admission admission(SettingsWithSlots(1));
  const Time now = RunSequentially(admission, Time{seconds(1)}, kService, 20);
  EXPECT_EQ(admission.Arrive(MakeId(1), now + milliseconds(4), now),
            (Admission::Decision{Admit::kRefuse, world::Reason::kDeadline}));
  EXPECT_EQ(admission.Arrive(MakeId(2), now + milliseconds(8), now).admit,
            Admit::kRun);
  // Would end after 10 ms, as a run of 5 ms is in flight.
  EXPECT_EQ(admission.Arrive(MakeId(3), now + milliseconds(8), now),
            (Admission::Decision{Admit::kRefuse, world::Reason::kDeadline}));
}

TEST(AdmissionTest, IgnoresOutdatedServiceTimes) {
  Admission admission(SettingsWithSlots(1));
  Time now = RunSequentially(admission, Time{seconds(1)}, seconds(1), 20);
  EXPECT_EQ(admission.Arrive(MakeId(1), now + milliseconds(500), now).admit,
            Admit::kRefuse);
  now += seconds(3);
  EXPECT_EQ(admission.Arrive(MakeId(2), now + milliseconds(500), now).admit,
            Admit::kRun);
}

TEST(AdmissionTest, RefusesQueuedAttemptsThatAreTooLate) {
  AdmissionSettings settings = SettingsWithSlots(1);
  settings.max_wait = milliseconds(20);
  Admission admission(settings);
  Time now{seconds(1)};
  admission.Arrive(MakeId(1), now + seconds(1), now);
  EXPECT_EQ(admission.Arrive(MakeId(2), now + seconds(1), now).admit,
            Admit::kQueue);
  EXPECT_EQ(admission.Arrive(MakeId(3), now + milliseconds(5), now).admit,
            Admit::kQueue);
  EXPECT_EQ(admission.Expire(now + milliseconds(6)),
            (std::vector<Admission::Release>{
                {MakeId(3), {Admit::kRefuse, world::Reason::kDeadline}}}));
  EXPECT_EQ(admission.Expire(now + milliseconds(21)),
            (std::vector<Admission::Release>{
                {MakeId(2), {Admit::kRefuse, world::Reason::kBusy}}}));
}

// Guards against requests that are held at a target which takes them only after
// their objective: they must be refused at once, while free slots are no reason
// to run them.
TEST(AdmissionTest, AtItsRateATargetQueuesOnlyWhatStartsInTime) {
  AdmissionSettings settings = SettingsWithSlots(20);
  settings.by_objective = true;
  settings.adaptive_limit = false;
  Admission admission(settings);
  Time now{seconds(1)};
  EXPECT_TRUE(admission.SetRate(2, now).empty());
  const auto arrive = [&](uint64_t id, Duration objective) {
    return admission
        .Arrive({MakeId(id), now + seconds(5), now + objective, kService}, now)
        .admit;
  };
  EXPECT_EQ(arrive(1, milliseconds(400)), Admit::kRefuse);
  EXPECT_EQ(arrive(2, milliseconds(600)), Admit::kQueue);
  EXPECT_EQ(arrive(3, milliseconds(800)), Admit::kRefuse);
  EXPECT_EQ(arrive(4, milliseconds(1100)), Admit::kQueue);
  EXPECT_TRUE(admission.Expire(now + milliseconds(400)).empty());
  now += milliseconds(500);
  const auto first = admission.Expire(now);
  ASSERT_EQ(first.size(), 1U);
  EXPECT_EQ(first[0].id, MakeId(2));
  EXPECT_EQ(first[0].decision.admit, Admit::kRun);
  const auto rest = admission.SetRate(std::nullopt, now);
  ASSERT_EQ(rest.size(), 1U);
  EXPECT_EQ(rest[0].id, MakeId(4));
  EXPECT_EQ(arrive(5, milliseconds(400)), Admit::kRun);
}

// Guards against a target at a low rate that looks free to ingresses, and
// against a wait that overflows the hint.
TEST(AdmissionTest, TellsTheWaitForItsRateAsABacklog) {
  Admission admission(SettingsWithSlots(20));
  Time now = RunSequentially(admission, Time{seconds(1)}, milliseconds(100), 5);
  EXPECT_EQ(admission.capacity(), 20U);
  EXPECT_EQ(admission.RateBacklog(now), 0U);
  admission.SetRate(20, now);
  EXPECT_EQ(admission.capacity(), 2U);
  admission.SetRate(1, now);
  EXPECT_EQ(admission.capacity(), 1U);
  EXPECT_GE(admission.RateBacklog(now), 9U);
  EXPECT_LE(admission.RateBacklog(now), 10U);
  admission.SetRate(0, now);
  EXPECT_EQ(admission.RateBacklog(now), 10'000U);
}

TEST(AdmissionTest, RemovesACancelledAttemptFromTheQueue) {
  Admission admission(SettingsWithSlots(1));
  const Time now{seconds(1)};
  admission.Arrive(MakeId(1), now + seconds(1), now);
  admission.Arrive(MakeId(2), now + seconds(1), now);
  admission.Cancel(MakeId(2));
  EXPECT_TRUE(admission.Finish(MakeId(1), kService, RunResult::kSucceeded, now)
                  .empty());
  EXPECT_EQ(admission.in_flight(), 0U);
}

TEST(AdmissionTest, FailureShareRisesAndDecays) {
  Admission admission(SettingsWithSlots(1));
  Time now{seconds(1)};
  for (uint64_t i = 0; i < 40; ++i) {
    admission.Arrive(MakeId(i), now + seconds(1), now);
    admission.Finish(MakeId(i), Duration(10), RunResult::kFailed, now);
  }
  EXPECT_GT(admission.failure_share(), 0.9);
  EXPECT_EQ(admission.service_time(), Duration(0));
  admission.Expire(now + seconds(10));
  EXPECT_LT(admission.failure_share(), 0.1);
}

TEST(ConcurrencyLimitTest, FallsWhenLowerConcurrencyIsFaster) {
  // Models slots that share one processor: service time grows with concurrency.
  ConcurrencyLimit limit(20);
  Time now{seconds(1)};
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(1);
    limit.Add(milliseconds(1), /*saturated=*/false, now);
  }
  for (int i = 0; i < 2000; ++i) {
    now += milliseconds(1);
    limit.Add(milliseconds(limit.limit()), /*saturated=*/true, now);
  }
  EXPECT_LT(limit.limit(), 12U);
  EXPECT_GE(limit.limit(), 1U);
}

TEST(ConcurrencyLimitTest, StaysWhenConcurrencyIsNotTheCause) {
  ConcurrencyLimit limit(20);
  Time now{seconds(1)};
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(1);
    limit.Add(milliseconds(1), /*saturated=*/false, now);
  }
  double sum = 0;
  constexpr int kRuns = 20'000;
  for (int i = 0; i < kRuns; ++i) {
    now += milliseconds(1);
    limit.Add(milliseconds(10), /*saturated=*/true, now);
    sum += limit.limit();
  }
  EXPECT_GT(sum / kRuns, 0.97 * 20);
}

// Guards against taking random variation of service times for contention, which
// would lower the limit: an overloaded target must keep a goodput of 0.95 of
// its capacity.
TEST(ConcurrencyLimitTest, IgnoresRandomVariationOfServiceTimes) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    ConcurrencyLimit limit(20);
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> service_us(1.0 / 40'000);
    Time now{seconds(1)};
    double sum = 0;
    constexpr int kRuns = 20'000;
    for (int i = 0; i < kRuns; ++i) {
      now += milliseconds(2);
      limit.Add(Duration(static_cast<int64_t>(service_us(random))),
                /*saturated=*/true, now);
      sum += limit.limit();
    }
    EXPECT_GT(sum / kRuns, 0.95 * 20) << "seed " << seed;
  }
}

// For any order of events the count in flight is exact, the limit is between 1
// and the slots, each queued attempt is released once, and only admitted
// attempts run.
RC_GTEST_PROP(AdmissionProperty, CountsAttemptsExactly, ()) {
  const auto slots = *rc::gen::inRange<uint32_t>(1, 9);
  AdmissionSettings settings = SettingsWithSlots(slots);
  settings.max_queue = *rc::gen::inRange<uint32_t>(0, 6);
  Admission admission(settings);
  Time now{seconds(1)};
  std::set<AttemptId> running;
  std::set<AttemptId> waiting;
  uint64_t next = 0;
  uint32_t max_slots = slots;
  const auto apply = [&](const std::vector<Admission::Release>& releases) {
    for (const auto& release : releases) {
      RC_ASSERT(waiting.erase(release.id) == 1U);
      if (release.decision.admit == Admit::kRun) {
        running.insert(release.id);
      } else {
        RC_ASSERT(release.decision.admit == Admit::kRefuse);
      }
    }
  };
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange(0, 60)));
  for (const auto& [action, amount] : steps) {
    now += milliseconds(amount);
    if (action <= 3) {
      const AttemptId id = MakeId(++next);
      const auto decision =
          admission.Arrive(id, now + milliseconds(10 * amount), now);
      if (decision.admit == Admit::kRun) {
        running.insert(id);
      } else if (decision.admit == Admit::kQueue) {
        waiting.insert(id);
      } else {
        RC_ASSERT(decision.reason != world::Reason::kNone);
      }
    } else if (action <= 6 && !running.empty()) {
      const AttemptId id = *running.begin();
      running.erase(id);
      apply(admission.Finish(
          id, milliseconds(amount),
          amount % 3 == 0 ? RunResult::kFailed : RunResult::kSucceeded, now));
    } else if (action == 7 && !waiting.empty()) {
      const AttemptId id = *waiting.begin();
      waiting.erase(id);
      admission.Cancel(id);
    } else if (action == 8) {
      settings.slots = 1 + static_cast<uint32_t>(amount) % 8;
      max_slots = std::max(max_slots, settings.slots);
      admission.Configure(settings);
    } else {
      apply(admission.Expire(now));
    }
    RC_ASSERT(admission.in_flight() == running.size());
    RC_ASSERT(admission.queued() == waiting.size());
    RC_ASSERT(admission.limit() >= 1U);
    RC_ASSERT(admission.limit() <= settings.slots);
    RC_ASSERT(admission.in_flight() <= max_slots);
    RC_ASSERT(admission.queued() <= settings.max_queue);
  }
}

}  // namespace
}  // namespace ibisvalve::policy
