#include "policy/transit_delay.h"

#include <gtest/gtest.h>

namespace ibisvalve::policy {
namespace {

using std::chrono::milliseconds;

constexpr uint64_t kMs = 1000;
constexpr uint64_t kSecond = 1000 * kMs;

// Guards against delays that are measured from clocks of two hosts as if they
// agreed: each clock has its own start.
TEST(TransitDelayTest, MeasuresTheDelayBeyondThatOfAnIdlePath) {
  TransitDelay delay;
  const uint64_t offset = 900 * kSecond;
  EXPECT_EQ(delay.OnArrival(10 * kSecond, offset + 10 * kSecond + 2 * kMs),
            Duration(0));
  EXPECT_EQ(delay.OnArrival(11 * kSecond, offset + 11 * kSecond + 502 * kMs),
            milliseconds(500));
  EXPECT_EQ(delay.OnArrival(12 * kSecond, offset + 12 * kSecond + kMs),
            Duration(0));
  EXPECT_EQ(delay.OnArrival(13 * kSecond, offset + 13 * kSecond + 2 * kMs),
            milliseconds(1));
  TransitDelay behind;  // the receiver's clock is behind the sender's
  EXPECT_EQ(behind.OnArrival(offset, 5 * kSecond), Duration(0));
  EXPECT_EQ(behind.OnArrival(offset + kSecond, 6 * kSecond + 30 * kMs),
            milliseconds(30));
}

// Guards against clocks that drift apart over days until every message counts
// as late.
TEST(TransitDelayTest, FollowsClocksThatDrift) {
  constexpr uint64_t kDriftPerSecond = 100;  // microseconds
  TransitDelay delay;
  for (uint64_t s = 1; s < 20'000; ++s) {
    const Duration late =
        delay.OnArrival(s * kSecond, s * (kSecond + kDriftPerSecond));
    EXPECT_LE(late, milliseconds(7));
  }
}

}  // namespace
}  // namespace ibisvalve::policy
