#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "policy/policy.h"

namespace ibisvalve::policy {
namespace {

constexpr Time kNow{std::chrono::seconds(1000)};
const Digest kResource(7);

world::CrashRecord AnyRecord() {
  world::CrashRecord record{kResource, {}};
  const auto crashes = *rc::gen::inRange(0, 6);
  for (int i = 0; i < crashes; ++i) {
    const auto flags = *rc::gen::inRange(0, 4);
    record.crashes.push_back(
        {{NodeId("n"), Incarnation(1), *rc::gen::inRange<uint64_t>(1, 5)},
         Digest(*rc::gen::inRange<uint64_t>(1, 4)),
         0,
         (flags & 1) != 0,
         (flags & 2) != 0});
  }
  std::sort(record.crashes.begin(), record.crashes.end());
  const auto same_key = [](const auto& a, const auto& b) {
    return a.id == b.id && a.request == b.request;
  };
  record.crashes.erase(
      std::unique(record.crashes.begin(), record.crashes.end(), same_key),
      record.crashes.end());
  return record;
}

// Guards against keepers that hold back a record on which nodes would have
// quarantined a request.
RC_GTEST_PROP(CrashWeightTest, AgreesWithTheQuarantineOfNodes, ()) {
  const world::CrashRecord record = AnyRecord();
  Quarantine quarantine;
  quarantine.Merge(record, kNow);
  RC_ASSERT(!quarantine.List(kNow).empty() ==
            (world::WeightOf(record) == world::CrashWeight::kQuarantines));
}

// Guards against records that nodes stop exchanging though the next crash
// quarantines the resource.
RC_GTEST_PROP(CrashWeightTest, ALightRecordNeedsTwoMoreCrashesOfOthers, ()) {
  world::CrashRecord record = AnyRecord();
  RC_PRE(world::WeightOf(record) == world::CrashWeight::kNone);
  record.crashes.push_back({{NodeId("m"), Incarnation(1), 1}, Digest(9), 0});
  RC_ASSERT(world::WeightOf(record) != world::CrashWeight::kQuarantines);
}

// Guards against a quarantine that lasts because the process that knows of the
// response does not contradict the one that does not.
TEST(CrashWeightTest, AResponseIsNewsForThoseThatKnowOnlyTheCrash) {
  world::CrashRecord told{kResource,
                          {{{NodeId("n"), Incarnation(1), 1}, Digest(1), 5}}};
  world::CrashRecord known = told;
  known.crashes[0].age_us = 9;
  EXPECT_FALSE(world::Clears(known, told));
  EXPECT_EQ(world::DigestOf(known), world::DigestOf(told));
  known.crashes[0].resource_cleared = true;
  EXPECT_TRUE(world::Clears(known, told));
  EXPECT_FALSE(world::Clears(told, known));
  EXPECT_NE(world::DigestOf(known), world::DigestOf(told));
}

}  // namespace
}  // namespace ibisvalve::policy
