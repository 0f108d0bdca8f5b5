#include <gtest/gtest.h>

#include "policy/policy.h"

namespace ibisvalve::policy {
namespace {

using std::chrono::milliseconds;

// Pattern: several callers upload recordings to one host over a link of
// 3.9 Mbit/s, and heartbeats wait behind the bodies.
TEST(SilenceBoundTest, FollowsRoundTripsOfACongestedLink) {
  SilenceBound silence({milliseconds(300), milliseconds(1500)});
  for (int i = 0; i < 10; ++i) {
    silence.OnRoundTrip(milliseconds(3));
  }
  EXPECT_EQ(silence.bound(), milliseconds(300));
  for (const int rtt : {80, 160, 240, 290}) {
    silence.OnRoundTrip(milliseconds(rtt));
  }
  EXPECT_GT(silence.bound(), milliseconds(600));
}

TEST(SilenceBoundTest, ReturnsToTheMinimumWhenTheCongestionEnds) {
  SilenceBound silence({milliseconds(300), milliseconds(1500)});
  for (int i = 0; i < 20; ++i) {
    silence.OnRoundTrip(milliseconds(400));
  }
  EXPECT_GE(silence.bound(), milliseconds(800));
  for (int i = 0; i < 30; ++i) {
    silence.OnRoundTrip(milliseconds(3));
  }
  EXPECT_EQ(silence.bound(), milliseconds(300));
}

// A link that fails within the first burst has measured no slow round trip.
TEST(SilenceBoundTest, DoublesAfterASilentLinkUntilARoundTripIsMeasured) {
  SilenceBound silence({milliseconds(300), milliseconds(1500)});
  silence.OnRoundTrip(milliseconds(3));
  silence.OnSilent();
  EXPECT_EQ(silence.bound(), milliseconds(600));
  silence.OnSilent();
  silence.OnSilent();
  EXPECT_EQ(silence.bound(), milliseconds(1500));
  silence.OnRoundTrip(milliseconds(3));
  EXPECT_EQ(silence.bound(), milliseconds(300));
}

TEST(SilenceBoundTest, AnUnmeasuredLinkHasTheMinimum) {
  const SilenceBound silence({milliseconds(300), milliseconds(1500)});
  EXPECT_EQ(silence.bound(), milliseconds(300));
}

}  // namespace
}  // namespace ibisvalve::policy
