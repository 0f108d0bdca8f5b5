#include <gtest/gtest.h>

#include "policy/policy.h"

namespace ibisvalve::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kNow{seconds(1000)};
const world::RequestIdentity kRequest{Digest(1), Digest(2)};

world::CrashId EndOf(const std::string& gate) {
  return {NodeId(gate), Incarnation(1), 0};
}

bool Never(const world::CrashId&) {
  return false;
}

// Guards against a quarantine that stays after its evidence was refuted.
TEST(RefutedCrashTest, EndsAQuarantineThatRestsOnIt) {
  Quarantine quarantine;
  quarantine.OnCrash(EndOf("a"), {kRequest}, kNow);
  quarantine.OnCrash(EndOf("b"), {kRequest}, kNow);
  ASSERT_EQ(quarantine.Check(kRequest, kNow), Verdict::kQuarantined);
  EXPECT_TRUE(quarantine.Refute(Never).empty());
  const auto of_a = [](const world::CrashId& crash) {
    return crash == EndOf("a");
  };
  EXPECT_EQ(quarantine.Refute(of_a), std::vector<Digest>{kRequest.resource});
  EXPECT_EQ(quarantine.Check(kRequest, kNow), Verdict::kSuspect);
  EXPECT_TRUE(quarantine.Refute(of_a).empty()) << "nothing is left to refute";
}

// Guards against a refuted crash that counts again when another node reports
// it, and against one that is not told to nodes which count it.
TEST(RefutedCrashTest, StaysRefutedAndCorrectsOtherNodes) {
  Quarantine quarantine;
  Quarantine other;
  for (Quarantine* known : {&quarantine, &other}) {
    known->OnCrash(EndOf("a"), {kRequest}, kNow);
    known->OnCrash(EndOf("b"), {kRequest}, kNow);
  }
  quarantine.Refute([](const world::CrashId&) { return true; });
  quarantine.OnCrash(EndOf("a"), {kRequest}, kNow);
  quarantine.Merge(other.Find(kRequest.resource, kNow), kNow);
  EXPECT_EQ(quarantine.Check(kRequest, kNow), Verdict::kClear);
  other.Merge(quarantine.Find(kRequest.resource, kNow), kNow);
  EXPECT_EQ(other.Check(kRequest, kNow), Verdict::kClear);
}

TEST(RecentAnswersTest, CountForTheirPeriod) {
  RecentAnswers answers;
  EXPECT_FALSE(answers.Contains(Digest(1), kNow));
  answers.Add(Digest(1), kNow);
  EXPECT_TRUE(answers.Contains(Digest(1), kNow));
  EXPECT_FALSE(answers.Contains(Digest(2), kNow));
  const Time last = kNow + RecentAnswers::kPeriod - milliseconds(1);
  answers.Add(Digest(2), last);
  EXPECT_TRUE(answers.Contains(Digest(1), last));
  EXPECT_FALSE(answers.Contains(Digest(1), last + milliseconds(1)));
  EXPECT_TRUE(answers.Contains(Digest(2), last + milliseconds(1)));
}

// Guards against answers that are forgotten early, or memory without a bound.
TEST(RecentAnswersTest, AreKeptOverManyRequests) {
  RecentAnswers answers;
  Time now = kNow;
  for (uint64_t i = 1; i <= 100'000; ++i) {
    now += milliseconds(5);
    answers.Add(Digest(i), now);
    ASSERT_TRUE(answers.Contains(Digest(i), now));
    ASSERT_TRUE(i < 500 || answers.Contains(Digest(i - 499), now));
  }
}

}  // namespace
}  // namespace ibisvalve::policy
