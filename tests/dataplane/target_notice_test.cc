#include "dataplane/target_notice.h"

#include <gtest/gtest.h>

namespace ibisvalve::dataplane {
namespace {

HeaderNames Names() {
  HeaderNames names;
  names.rate_limit = "X-Limit";
  names.leaving = "X-Leaving";
  return names;
}

// Guards against a limit or a departure that a target tells and nobody reads.
TEST(TargetNoticeTest, ReadsLimitAndDeparture) {
  const TargetNotice notice =
      ParseTargetNotice({{"x-limit", "10.25"}, {"x-leaving", "1"}}, Names());
  EXPECT_EQ(notice.rate_limit, 10.25);
  EXPECT_TRUE(notice.leaving);
  EXPECT_EQ(ParseTargetNotice({{"X-Limit", "0"}}, Names()).rate_limit, 0.0);
  EXPECT_EQ(ParseTargetNotice({}, Names()), TargetNotice());
  EXPECT_EQ(ParseTargetNotice({{"x-limit", "5"}}, HeaderNames()),
            TargetNotice());
}

// Guards against malformed headers that stop a target from being used.
TEST(TargetNoticeTest, IgnoresMalformedValues) {
  for (const char* text : {"", "-1", "nan", "inf", "1e999", "5 ", "x", "1,2"}) {
    EXPECT_EQ(ParseTargetNotice({{"X-Limit", text}}, Names()), TargetNotice())
        << text;
  }
  EXPECT_EQ(ParseTargetNotice({{"X-Leaving", "0"}}, Names()), TargetNotice());
}

}  // namespace
}  // namespace ibisvalve::dataplane
