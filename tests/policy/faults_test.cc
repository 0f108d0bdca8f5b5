#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

#include "policy/policy.h"

namespace ibisvalve::policy {
namespace {

using world::RequestIdentity;

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

// Returns a request that agrees with no other one in path and body.
RequestIdentity Alone(uint64_t number) {
  return {Digest(number), Digest(1000 + number)};
}

TEST(QuarantineTest, QuarantinesAtTheSecondCrash) {
  Quarantine quarantine;
  const RequestIdentity poison = Alone(1);
  const RequestIdentity harmless = Alone(2);
  EXPECT_TRUE(quarantine.OnCrash(MakeCrashId(1), {poison, harmless}, kStart)
                  .quarantined.empty());
  EXPECT_EQ(quarantine.Check(poison, kStart), Verdict::kSuspect);
  EXPECT_EQ(quarantine.OnCrash(MakeCrashId(2), {poison, Alone(3)}, kStart),
            (CrashEffect{false, {Digest(3)}, {poison.request}, {}, {}, {}}));
  EXPECT_EQ(quarantine.Check(poison, kStart), Verdict::kQuarantined);
  EXPECT_EQ(quarantine.Check(harmless, kStart), Verdict::kSuspect);
  EXPECT_EQ(quarantine.Check(Alone(4), kStart), Verdict::kClear);
  EXPECT_EQ(
      quarantine.List(kStart),
      (std::vector<QuarantineEntry>{{QuarantineScope::kRequest, poison.request,
                                     2, kStart + minutes(10)}}));
  EXPECT_EQ(quarantine.Check(poison, kStart + minutes(10)), Verdict::kClear);
}

TEST(QuarantineTest, CountsARepeatedReportOnce) {
  Quarantine quarantine;
  const RequestIdentity harmless = Alone(1);
  for (int i = 0; i < 3; ++i) {
    quarantine.OnCrash(MakeCrashId(1), {harmless, harmless}, kStart);
  }
  EXPECT_EQ(quarantine.Check(harmless, kStart), Verdict::kSuspect);
}

// Guards against evidence that is lost because another request was reported
// first for the same crash.
TEST(QuarantineTest, EachRequestReportedForACrashBecomesASuspect) {
  Quarantine quarantine;
  const RequestIdentity poison = Alone(1);
  for (uint64_t crash = 1; crash <= 2; ++crash) {
    quarantine.OnCrash(MakeCrashId(crash), {Alone(100 + crash)}, kStart);
    const CrashEffect effect =
        quarantine.OnCrash(MakeCrashId(crash), {poison}, kStart);
    EXPECT_FALSE(effect.already_known);
  }
  EXPECT_EQ(quarantine.Check(poison, kStart), Verdict::kQuarantined);
  EXPECT_EQ(quarantine.Check(Alone(101), kStart), Verdict::kSuspect);
}

// Guards against nodes that do not agree after they have told each other what
// they know, in whichever order.
TEST(QuarantineTest, MergedRecordsAgree) {
  const RequestIdentity poison = Alone(1);
  const RequestIdentity lifted = Alone(2);
  Quarantine first;
  Quarantine second;
  first.OnCrash(MakeCrashId(1), {poison, lifted}, kStart);
  first.OnCrash(MakeCrashId(2), {lifted}, kStart);
  const world::CrashRecord before = first.Find(lifted.resource, kStart);
  second.Merge(before, kStart);
  EXPECT_TRUE(first.Lift(lifted.request, kStart));
  second.OnCrash(MakeCrashId(3), {poison}, kStart);
  const Time later = kStart + std::chrono::seconds(5);
  EXPECT_EQ(first.Merge(second.Find(poison.resource, later), later).quarantined,
            (std::vector<Digest>{poison.request}));
  EXPECT_EQ(second.Merge(first.Find(lifted.resource, later), later).released,
            (std::vector<Digest>{lifted.request}));
  second.Merge(first.Find(poison.resource, later), later);
  EXPECT_TRUE(
      first.Merge(second.Find(lifted.resource, later), later).already_known);
  for (const RequestIdentity& request : {poison, lifted}) {
    EXPECT_EQ(first.Find(request.resource, later),
              second.Find(request.resource, later));
  }
  EXPECT_EQ(second.Check(poison, later), Verdict::kQuarantined);
  EXPECT_EQ(second.Check(lifted, later), Verdict::kClear);
  // Nodes exchange what counts, and correct those that do not know of the lift.
  const auto exchanged = second.RepeatedCrashRecords(10, later);
  ASSERT_EQ(exchanged.size(), 1U);
  EXPECT_EQ(exchanged[0].resource, poison.resource);
  EXPECT_TRUE(world::Clears(second.Find(lifted.resource, later), before));
  EXPECT_TRUE(second.RepeatedCrashRecords(10, kStart + minutes(10)).empty());
}

TEST(QuarantineTest, ClearsASuspectAfterACompleteResponse) {
  Quarantine quarantine;
  const RequestIdentity frequent = Alone(1);
  for (uint64_t crash = 0; crash < 5; ++crash) {
    quarantine.OnCrash(MakeCrashId(crash), {frequent, Alone(100 + crash)},
                       kStart);
    quarantine.OnAnswer(frequent, kStart);
    EXPECT_EQ(quarantine.Check(frequent, kStart), Verdict::kClear);
  }
}

TEST(QuarantineTest, StaysLiftedAfterRepeatedReports) {
  Quarantine quarantine;
  const RequestIdentity poison = Alone(1);
  quarantine.OnCrash(MakeCrashId(1), {poison}, kStart);
  EXPECT_FALSE(quarantine.Lift(poison.request, kStart));
  quarantine.OnCrash(MakeCrashId(2), {poison}, kStart);
  EXPECT_EQ(quarantine.Check(poison, kStart), Verdict::kQuarantined);
  EXPECT_TRUE(quarantine.Lift(poison.request, kStart));
  // Repeated reports of the same crashes.
  quarantine.OnCrash(MakeCrashId(1), {poison}, kStart);
  quarantine.OnCrash(MakeCrashId(2), {poison}, kStart);
  EXPECT_EQ(quarantine.Check(poison, kStart), Verdict::kClear);
}

// Guards against the quarantine of a frequent request whose other runs go on
// while targets crash, also when the reports of the crashes come late.
TEST(QuarantineTest, AResponseEndsAQuarantineForTheCrashesBeforeIt) {
  Quarantine quarantine;
  const RequestIdentity frequent = Alone(1);
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
  settings.max_resources = 10;
  Quarantine quarantine(settings);
  quarantine.OnCrash(MakeCrashId(1), {Alone(1)}, kStart);
  quarantine.OnCrash(MakeCrashId(2), {Alone(1)}, kStart);
  for (uint64_t i = 0; i < 100; ++i) {
    quarantine.OnCrash(MakeCrashId(10 + i), {Alone(10 + i)}, kStart);
  }
  EXPECT_EQ(quarantine.Check(Alone(1), kStart), Verdict::kQuarantined);
}

// Guards against a request that crashes targets anew in each other form.
TEST(QuarantineTest, QuarantinesAResourceAtTheThirdCrashOfSeveralRequests) {
  Quarantine quarantine;
  const Digest resource(9);
  const auto variant = [&](uint64_t number) {
    return RequestIdentity{Digest(number), resource};
  };
  quarantine.OnCrash(MakeCrashId(1), {variant(1)}, kStart);
  quarantine.OnCrash(MakeCrashId(2), {variant(1)}, kStart);
  EXPECT_EQ(quarantine.Check(variant(1), kStart), Verdict::kQuarantined);
  EXPECT_EQ(quarantine.Check(variant(2), kStart), Verdict::kClear);
  EXPECT_EQ(quarantine.OnCrash(MakeCrashId(3), {variant(2)}, kStart)
                .quarantined_resources,
            (std::vector<Digest>{resource}));
  for (uint64_t number = 1; number <= 4; ++number) {
    EXPECT_EQ(quarantine.Check(variant(number), kStart), Verdict::kQuarantined);
  }
  EXPECT_EQ(quarantine.Check(Alone(1), kStart), Verdict::kClear);
  EXPECT_EQ(quarantine.List(kStart).front(),
            (QuarantineEntry{QuarantineScope::kResource, resource, 3,
                             kStart + std::chrono::minutes(10)}));
  EXPECT_EQ(quarantine.Check(variant(3), kStart + std::chrono::minutes(10)),
            Verdict::kClear);
}

// Guards against a resource that is lost for the crashes of one request, which
// was under way at several targets before it was quarantined.
TEST(QuarantineTest, CrashesOfOneRequestDoNotQuarantineItsResource) {
  Quarantine quarantine;
  const RequestIdentity poison{Digest(1), Digest(9)};
  const RequestIdentity sibling{Digest(2), Digest(9)};
  for (uint64_t crash = 1; crash <= 4; ++crash) {
    quarantine.OnCrash(MakeCrashId(crash), {poison}, kStart);
  }
  // In flight beside it.
  quarantine.OnCrash(MakeCrashId(4), {sibling}, kStart);
  EXPECT_EQ(quarantine.Check(poison, kStart), Verdict::kQuarantined);
  EXPECT_EQ(quarantine.Check(sibling, kStart), Verdict::kSuspect);
  EXPECT_EQ(quarantine.Check({Digest(3), Digest(9)}, kStart), Verdict::kClear);
}

// Guards against a busy resource that is refused for the crashes of some of its
// requests, and against a response to one request that clears another.
TEST(QuarantineTest, AResponseClearsItsRequestAndItsResourceOnly) {
  Quarantine quarantine;
  const RequestIdentity poison{Digest(1), Digest(9)};
  const RequestIdentity other{Digest(2), Digest(9)};
  const RequestIdentity answered{Digest(3), Digest(9)};
  quarantine.OnCrash(MakeCrashId(1), {poison}, kStart);
  EXPECT_TRUE(quarantine.OnAnswer(answered, kStart));
  EXPECT_FALSE(quarantine.OnAnswer(answered, kStart));
  EXPECT_EQ(quarantine.Check(poison, kStart), Verdict::kSuspect);
  quarantine.OnCrash(MakeCrashId(2), {poison}, kStart);
  EXPECT_EQ(quarantine.Check(poison, kStart), Verdict::kQuarantined);
  quarantine.OnCrash(MakeCrashId(3), {other}, kStart);
  EXPECT_EQ(quarantine.Check(answered, kStart), Verdict::kClear);
  quarantine.OnCrash(MakeCrashId(4), {other}, kStart);
  EXPECT_EQ(quarantine.Check(answered, kStart), Verdict::kQuarantined);
  // A run that was under way ends well.
  EXPECT_TRUE(quarantine.OnAnswer(answered, kStart));
  EXPECT_EQ(quarantine.Check(answered, kStart), Verdict::kClear);
  EXPECT_EQ(quarantine.Check(poison, kStart), Verdict::kQuarantined);
  EXPECT_EQ(quarantine.Check(other, kStart), Verdict::kQuarantined);
}

// Guards against an operator who cannot lift what several requests caused.
TEST(QuarantineTest, AQuarantinedResourceCanBeLifted) {
  Quarantine quarantine;
  const Digest resource(9);
  for (uint64_t number = 1; number <= 3; ++number) {
    quarantine.OnCrash(MakeCrashId(number), {{Digest(number), resource}},
                       kStart);
  }
  EXPECT_EQ(quarantine.Check({Digest(4), resource}, kStart),
            Verdict::kQuarantined);
  EXPECT_TRUE(quarantine.Lift(resource, kStart));
  EXPECT_EQ(quarantine.Check({Digest(4), resource}, kStart), Verdict::kClear);
  EXPECT_TRUE(quarantine.List(kStart).empty());
}

// Guards against the loss of the evidence against one request among many others
// for the same resource that were in flight beside it.
TEST(QuarantineTest, KeepsTheCrashesOfAQuarantinedRequestBesideManyOthers) {
  Quarantine quarantine;
  const Digest resource(9);
  uint64_t next = 100;
  for (uint64_t crash = 1; crash <= 4; ++crash) {
    quarantine.OnCrash(MakeCrashId(crash), {{Digest(1), resource}}, kStart);
    for (int i = 0; i < 30; ++i) {
      quarantine.OnCrash(MakeCrashId(crash), {{Digest(++next), resource}},
                         kStart);
    }
  }
  EXPECT_EQ(quarantine.Check({Digest(1), resource}, kStart),
            Verdict::kQuarantined);
}

// Guards against suspicion of requests after whose start the target was alive.
TEST(UnansweredRunsTest, KeepsTheRunsThatMayHaveEndedTheTarget) {
  UnansweredRuns runs;
  const auto at = [](int value) {
    return kStart + std::chrono::seconds(value);
  };
  runs.Add(Alone(1), at(0), at(1));
  runs.Add(Alone(2), at(2), at(3));
  runs.OnResponse(at(1));
  EXPECT_EQ(runs.Take(at(4)), (std::vector<RequestIdentity>{Alone(2)}));
  EXPECT_TRUE(runs.Take(at(4)).empty());
  runs.Add(Alone(3), at(4), at(5));
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
