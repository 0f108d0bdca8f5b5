#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

#include "policy/policy.h"

namespace ibisvalve::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Time kStart{seconds(100)};

NodeId MakeNodeId(int number) {
  return NodeId("n" + std::to_string(number));
}

Ejection MakeEjection(int targets, const EjectionSettings& settings = {}) {
  Ejection ejection(settings);
  for (int i = 0; i < targets; ++i) {
    ejection.Add(MakeNodeId(i));
  }
  return ejection;
}

TEST(EjectionTest, EjectsThenReadmitsGradually) {
  Ejection ejection = MakeEjection(4);
  for (int i = 0; i < 4; ++i) {
    EXPECT_FALSE(ejection.OnResult(MakeNodeId(0), true, kStart));
  }
  EXPECT_TRUE(ejection.OnResult(MakeNodeId(0), true, kStart));
  EXPECT_EQ(ejection.EjectedShare(MakeNodeId(0), kStart), 1);
  EXPECT_EQ(ejection.EjectedShare(MakeNodeId(1), kStart), 0);
  const Time back = kStart + seconds(1);
  double last = 1;
  for (int i = 0; i < 50; ++i) {
    const double ejected_share =
        ejection.EjectedShare(MakeNodeId(0), back + milliseconds(100 * i));
    EXPECT_LT(ejected_share, last);
    EXPECT_GT(ejected_share, 0);
    last = ejected_share;
  }
  EXPECT_EQ(ejection.EjectedShare(MakeNodeId(0), back + seconds(5)), 0);
}

TEST(EjectionTest, DurationDoublesAndResetsAfterRecovery) {
  Ejection ejection = MakeEjection(4);
  const auto fail_until_ejected = [&](Time now) {
    int results = 1;
    while (!ejection.OnResult(MakeNodeId(0), true, now)) {
      ++results;
    }
    return results;
  };
  fail_until_ejected(kStart);
  Time now = kStart + seconds(1);
  EXPECT_EQ(fail_until_ejected(now), 2);
  EXPECT_EQ(ejection.EjectedShare(MakeNodeId(0), now + milliseconds(1999)), 1);
  EXPECT_LT(ejection.EjectedShare(MakeNodeId(0), now + milliseconds(2000)), 1);
  now += seconds(60);
  EXPECT_FALSE(ejection.OnResult(MakeNodeId(0), false, now));
  EXPECT_EQ(fail_until_ejected(now), 5);
  EXPECT_LT(ejection.EjectedShare(MakeNodeId(0), now + milliseconds(1000)), 1);
}

TEST(EjectionTest, EjectsByFailureShare) {
  Ejection ejection = MakeEjection(4);
  bool ejected = false;
  for (int i = 0; i < 40 && !ejected; ++i) {
    ejected = ejection.OnResult(MakeNodeId(0), i % 4 != 0, kStart);
  }
  EXPECT_TRUE(ejected);
}

// For any sequence of results at most the configured share is ejected.
RC_GTEST_PROP(EjectionProperty, NeverExceedsMaxEjected, ()) {
  const int targets = *rc::gen::inRange(1, 9);
  EjectionSettings settings;
  settings.max_ejected = *rc::gen::element(0.0, 0.3, 0.5, 1.0);
  Ejection ejection = MakeEjection(targets, settings);
  Time now = kStart;
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, targets), rc::gen::inRange(0, 400)));
  for (const auto& [target, step] : steps) {
    now += milliseconds(step);
    for (int i = 0; i < 6; ++i) {
      ejection.OnResult(MakeNodeId(target), step % 5 != 0, now);
    }
    int out = 0;
    for (int i = 0; i < targets; ++i) {
      const double ejected_share = ejection.EjectedShare(MakeNodeId(i), now);
      RC_ASSERT(ejected_share >= 0);
      RC_ASSERT(ejected_share <= 1);
      out += ejected_share == 1 ? 1 : 0;
    }
    RC_ASSERT(ejection.ejected(now) == static_cast<uint32_t>(out));
    RC_ASSERT(out <= settings.max_ejected * targets);
  }
}

world::CrashId MakeCrashId(uint64_t number) {
  return {MakeNodeId(static_cast<int>(number)), Incarnation(1), number};
}

TEST(QuarantineTest, QuarantinesAtTheSecondCrash) {
  Quarantine quarantine;
  const Digest poison(1);
  const Digest harmless(2);
  EXPECT_TRUE(quarantine.OnCrash(MakeCrashId(1), {poison, harmless}, kStart)
                  .quarantined.empty());
  EXPECT_EQ(quarantine.Check(poison, kStart), Verdict::kSuspect);
  EXPECT_EQ(quarantine.OnCrash(MakeCrashId(2), {poison, Digest(3)}, kStart),
            (CrashEffect{false, {Digest(3)}, {poison}, {}}));
  EXPECT_EQ(quarantine.Check(poison, kStart), Verdict::kQuarantined);
  EXPECT_EQ(quarantine.Check(harmless, kStart), Verdict::kSuspect);
  EXPECT_EQ(quarantine.Check(Digest(4), kStart), Verdict::kClear);
  EXPECT_EQ(quarantine.List(kStart),
            (std::vector<QuarantineEntry>{{poison, 2, kStart + minutes(10)}}));
  EXPECT_EQ(quarantine.Check(poison, kStart + minutes(10)), Verdict::kClear);
}

TEST(QuarantineTest, CountsARepeatedReportOnce) {
  Quarantine quarantine;
  const Digest harmless(1);
  for (int i = 0; i < 3; ++i) {
    quarantine.OnCrash(MakeCrashId(1), {harmless, harmless}, kStart);
  }
  EXPECT_EQ(quarantine.Check(harmless, kStart), Verdict::kSuspect);
}

// Guards against evidence that is lost because another request was reported
// first for the same crash.
TEST(QuarantineTest, EachRequestReportedForACrashBecomesASuspect) {
  Quarantine quarantine;
  const Digest poison(1);
  for (uint64_t crash = 1; crash <= 2; ++crash) {
    quarantine.OnCrash(MakeCrashId(crash), {Digest(100 + crash)}, kStart);
    const CrashEffect effect =
        quarantine.OnCrash(MakeCrashId(crash), {poison}, kStart);
    EXPECT_FALSE(effect.already_known);
  }
  EXPECT_EQ(quarantine.Check(poison, kStart), Verdict::kQuarantined);
  EXPECT_EQ(quarantine.Check(Digest(101), kStart), Verdict::kSuspect);
}

// Guards against nodes that do not agree after they have told each other what
// they know, in whichever order.
TEST(QuarantineTest, MergedRecordsAgree) {
  const Digest poison(1);
  const Digest lifted(2);
  Quarantine first;
  Quarantine second;
  first.OnCrash(MakeCrashId(1), {poison, lifted}, kStart);
  first.OnCrash(MakeCrashId(2), {lifted}, kStart);
  second.Merge(first.Find(lifted, kStart), kStart);
  EXPECT_TRUE(first.Lift(lifted, kStart));
  second.OnCrash(MakeCrashId(3), {poison}, kStart);
  const Time later = kStart + std::chrono::seconds(5);
  EXPECT_EQ(first.Merge(second.Find(poison, later), later).quarantined,
            (std::vector<Digest>{poison}));
  EXPECT_EQ(second.Merge(first.Find(lifted, later), later).released,
            (std::vector<Digest>{lifted}));
  second.Merge(first.Find(poison, later), later);
  EXPECT_TRUE(first.Merge(second.Find(lifted, later), later).already_known);
  for (const Digest& request : {poison, lifted}) {
    EXPECT_EQ(first.Find(request, later), second.Find(request, later));
  }
  EXPECT_EQ(second.Check(poison, later), Verdict::kQuarantined);
  EXPECT_EQ(second.Check(lifted, later), Verdict::kClear);
  EXPECT_EQ(second.QuarantineRecords(10, later).size(), 2U);
  EXPECT_TRUE(second.QuarantineRecords(10, kStart + minutes(10)).empty());
}

TEST(QuarantineTest, ClearsASuspectAfterACompleteResponse) {
  Quarantine quarantine;
  const Digest frequent(1);
  for (uint64_t crash = 0; crash < 5; ++crash) {
    quarantine.OnCrash(MakeCrashId(crash), {frequent, Digest(100 + crash)},
                       kStart);
    quarantine.OnAnswer(frequent, kStart);
    EXPECT_EQ(quarantine.Check(frequent, kStart), Verdict::kClear);
  }
}

TEST(QuarantineTest, StaysLiftedAfterRepeatedReports) {
  Quarantine quarantine;
  const Digest poison(1);
  quarantine.OnCrash(MakeCrashId(1), {poison}, kStart);
  EXPECT_FALSE(quarantine.Lift(poison, kStart));
  quarantine.OnCrash(MakeCrashId(2), {poison}, kStart);
  EXPECT_EQ(quarantine.Check(poison, kStart), Verdict::kQuarantined);
  EXPECT_TRUE(quarantine.Lift(poison, kStart));
  // Repeated reports of the same crashes.
  quarantine.OnCrash(MakeCrashId(1), {poison}, kStart);
  quarantine.OnCrash(MakeCrashId(2), {poison}, kStart);
  EXPECT_EQ(quarantine.Check(poison, kStart), Verdict::kClear);
}

// Guards against the quarantine of a frequent request whose other runs go on
// while targets crash, also when the reports of the crashes come late.
TEST(QuarantineTest, AResponseEndsAQuarantineForTheCrashesBeforeIt) {
  Quarantine quarantine;
  const Digest frequent(1);
  quarantine.OnCrash(MakeCrashId(1), {frequent}, kStart);
  quarantine.OnCrash(MakeCrashId(2), {frequent}, kStart);
  EXPECT_EQ(quarantine.Check(frequent, kStart), Verdict::kQuarantined);
  EXPECT_TRUE(quarantine.OnAnswer(frequent, kStart));
  EXPECT_EQ(quarantine.Check(frequent, kStart), Verdict::kClear);
  quarantine.OnCrash(MakeCrashId(1), {frequent}, kStart);
  quarantine.OnCrash(MakeCrashId(2), {frequent}, kStart);
  EXPECT_EQ(quarantine.Check(frequent, kStart), Verdict::kClear);
  EXPECT_FALSE(quarantine.OnAnswer(frequent, kStart));
  quarantine.OnCrash(MakeCrashId(3), {frequent}, kStart);
  quarantine.OnCrash(MakeCrashId(4), {frequent}, kStart);
  EXPECT_EQ(quarantine.Check(frequent, kStart), Verdict::kQuarantined);
}

TEST(QuarantineTest, EvictsSuspectsBeforeQuarantinedRequests) {
  QuarantineSettings settings;
  settings.max_fingerprints = 10;
  Quarantine quarantine(settings);
  quarantine.OnCrash(MakeCrashId(1), {Digest(1)}, kStart);
  quarantine.OnCrash(MakeCrashId(2), {Digest(1)}, kStart);
  for (uint64_t i = 0; i < 100; ++i) {
    quarantine.OnCrash(MakeCrashId(10 + i), {Digest(10 + i)}, kStart);
  }
  EXPECT_EQ(quarantine.Check(Digest(1), kStart), Verdict::kQuarantined);
}

// Guards against suspicion of requests after whose start the target was alive.
TEST(UnansweredRunsTest, KeepsTheRunsThatMayHaveEndedTheTarget) {
  UnansweredRuns runs;
  const auto at = [](int value) {
    return kStart + std::chrono::seconds(value);
  };
  runs.Add(Digest(1), at(0), at(1));
  runs.Add(Digest(2), at(2), at(3));
  runs.OnResponse(at(1));
  EXPECT_EQ(runs.Take(at(4)), (std::vector<Digest>{Digest(2)}));
  EXPECT_TRUE(runs.Take(at(4)).empty());
  runs.Add(Digest(3), at(4), at(5));
  EXPECT_TRUE(runs.Take(at(60)).empty());
}

std::vector<SubsetMember> MakeMembers(int count) {
  const std::vector<std::string> zones = {"suva", "nadi", "lautoka"};
  std::vector<SubsetMember> members;
  members.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    members.push_back(
        {MakeNodeId(i), ZoneName(zones[static_cast<size_t>(i) % 3])});
  }
  return members;
}

RC_GTEST_PROP(SubsetProperty, ARemovedMemberChangesAtMostOneEntry, ()) {
  const int count = *rc::gen::inRange(1, 60);
  const auto size = *rc::gen::inRange<size_t>(0, 30);
  const NodeId ingress = MakeNodeId(1000 + *rc::gen::inRange(0, 50));
  auto members = MakeMembers(count);
  const ZoneName zone("suva");
  const auto before = ChooseSubset(ingress, zone, members, size);
  RC_ASSERT(before.size() == std::min(size, members.size()));
  std::reverse(members.begin(), members.end());
  RC_ASSERT(ChooseSubset(ingress, zone, members, size) == before);
  members.erase(members.begin() + *rc::gen::inRange(0, count));
  const auto after = ChooseSubset(ingress, zone, members, size);
  std::vector<NodeId> gone;
  std::set_difference(before.begin(), before.end(), after.begin(), after.end(),
                      std::back_inserter(gone));
  RC_ASSERT(gone.size() <= 1U);
}

TEST(SubsetTest, SpreadsEvenlyOverAThousandNodes) {
  constexpr int kNodes = 1000;
  constexpr size_t kSize = 20;
  const auto members = MakeMembers(kNodes);
  std::map<NodeId, int> users;
  for (const auto& ingress : members) {
    for (const auto& id :
         ChooseSubset(ingress.id, ingress.zone, members, kSize)) {
      ++users[id];
    }
  }
  EXPECT_EQ(users.size(), static_cast<size_t>(kNodes));
  for (const auto& [id, count] : users) {
    EXPECT_GE(count, 4) << id.value;
    EXPECT_LE(count, 44) << id.value;
  }
}

}  // namespace
}  // namespace ibisvalve::policy
