#include "base/base.h"

#include <gtest/gtest.h>

namespace ibisvalve {
namespace {

TEST(ManualClockTest, ChangesOnlyWhenAdvanced) {
  ManualClock clock;
  const Time before = clock.Now();
  EXPECT_EQ(clock.Now(), before);
  clock.Advance(std::chrono::milliseconds(5));
  EXPECT_EQ(clock.Now() - before, std::chrono::milliseconds(5));
}

TEST(EventLogTest, QuotesValuesThatNeedIt) {
  constexpr EventCode kCode{1999, Severity::kInfo, "sample"};
  EXPECT_EQ(FormatEvent(kCode, {{"node", "a"}, {"why", "it broke"}}),
            "IV1999 sample node=a why=\"it broke\"");
}

TEST(FindingTest, InvalidInputCarriesEveryFinding) {
  const InvalidInput error({{{"f.yaml", 3, 7, "a.b"}, "is 0", "write 1"},
                            {{"f.yaml", 4, 1, "c"}, "unknown key", ""}});
  EXPECT_EQ(error.findings().size(), 2U);
  EXPECT_STREQ(error.what(),
               "f.yaml:3:7: a.b: is 0; write 1\nf.yaml:4:1: c: unknown key");
}

TEST(IdsTest, IncarnationsGrowWithTime) {
  const Incarnation first = NewIncarnation();
  const Incarnation second = NewIncarnation();
  EXPECT_GE(second.value >> 16, first.value >> 16);
}

}  // namespace
}  // namespace ibisvalve
