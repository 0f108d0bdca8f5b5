#include "world/world.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace ibisvalve::world {
namespace {

TEST(EndpointTest, ParsesIpAddressesOnly) {
  EXPECT_EQ(ParseEndpoint("127.0.0.1:80"), (Endpoint{"127.0.0.1", 80}));
  EXPECT_EQ(ParseEndpoint("[::1]:80"), (Endpoint{"::1", 80}));
  EXPECT_EQ(ToString(Endpoint{"::1", 80}), "[::1]:80");
  for (const char* bad : {"", "127.0.0.1", "host:80",
                          "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:8x"}) {
    EXPECT_FALSE(ParseEndpoint(bad).has_value()) << bad;
  }
}

TEST(TermsTest, FirstMatchingContractHolds) {
  Service service;
  service.deadline = std::chrono::milliseconds(300);
  service.contracts = {
      {{{"POST"}}, "/bookings", Repeat::kNever, KeyRule::kRequired, {}},
      {{}, "/", Repeat::kAllowed, KeyRule::kOptional, Duration(5)}};
  EXPECT_EQ(TermsFor(service, "POST", "/bookings/7"),
            (Terms{Repeat::kNever, KeyRule::kRequired, service.deadline}));
  EXPECT_EQ(TermsFor(service, "POST", "/other"),
            (Terms{Repeat::kAllowed, KeyRule::kOptional, Duration(5)}));
}

TEST(TermsTest, WithoutContractOnlySafeMethodsMayBeRepeated) {
  const Service service;
  EXPECT_EQ(TermsFor(service, "GET", "/").repeat, Repeat::kAllowed);
  EXPECT_EQ(TermsFor(service, "POST", "/").repeat, Repeat::kNever);
  EXPECT_EQ(TermsFor(service, "DELETE", "/").repeat, Repeat::kNever);
}

TargetRun ArbitraryRun() {
  return {*rc::gen::inRange<uint64_t>(1, 20),
          Digest(*rc::gen::inRange<uint64_t>(1, 12))};
}

// Guards against a departure that is forgotten where members learn of several
// in different orders, or of more than are kept.
RC_GTEST_PROP(DepartedRunsTest, NoDepartureIsForgottenInAnyOrder, ()) {
  std::vector<TargetRun> runs;
  const auto count = *rc::gen::inRange<size_t>(1, 12);
  for (size_t i = 0; i < count; ++i) {
    runs.push_back(ArbitraryRun());
  }
  DepartedRuns one;
  for (const TargetRun& run : runs) {
    one = one.With(run);
  }
  DepartedRuns left;
  DepartedRuns right;
  std::reverse(runs.begin(), runs.end());
  for (const TargetRun& run : runs) {
    DepartedRuns& side = *rc::gen::arbitrary<bool>() ? left : right;
    side = side.With(run);
  }
  RC_ASSERT(left.With(right) == one);
  RC_ASSERT(right.With(left) == one);
  RC_ASSERT(one.runs().size() <= DepartedRuns::kMaxRuns);
  for (const TargetRun& run : runs) {
    RC_ASSERT(one.Covers(run));
    RC_ASSERT(left.With(right).Includes(left));
  }
}

// A run is not affected by the departures of a few others.
TEST(DepartedRunsTest, OnlyARunThatDepartedIsCovered) {
  const DepartedRuns departed =
      DepartedRuns().With({2000, Digest(2)}).With({3000, Digest(3)});
  EXPECT_FALSE(departed.Covers({1000, Digest(1)}));
  EXPECT_TRUE(departed.Covers({1000, Digest(2)})) << "an earlier run of it";
  EXPECT_FALSE(departed.Covers({4000, Digest(2)})) << "a later run of it";
}

// Guards against a run that is said to have outlived a process which it did not
// see end, or which ended before it.
TEST(HostedRunTest, OutlivesOnlyProcessesBetweenItsStartAndItsConfirmation) {
  const HostedRun hosted{Incarnation(10), 1, Digest(7), Incarnation(30)};
  EXPECT_FALSE(Outlived(hosted, Incarnation(9)));
  EXPECT_TRUE(Outlived(hosted, Incarnation(10)));
  EXPECT_TRUE(Outlived(hosted, Incarnation(20)));
  EXPECT_FALSE(Outlived(hosted, Incarnation(30)));
  EXPECT_FALSE(Outlived({}, Incarnation(0)));
}

// Without a start, a run that finds no room cannot be told from others.
TEST(DepartedRunsTest, AFullSetHasNoRoomForARunWithoutStart) {
  DepartedRuns departed;
  for (uint64_t i = 1; i <= DepartedRuns::kMaxRuns; ++i) {
    departed = departed.With({1000 * i, Digest(i)});
  }
  const TargetRun unknown{0, Digest(99)};
  EXPECT_EQ(departed.With(unknown), departed);
  EXPECT_FALSE(departed.Covers(unknown));
}

}  // namespace
}  // namespace ibisvalve::world
