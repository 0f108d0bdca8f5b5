#include <gtest/gtest.h>

#include "policy/policy.h"

namespace ibisvalve::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Digest kLookup = DigestOf("GET /rooms");

// Pattern: a full service refuses lookups whose callers return later.
TEST(RefusedCallersTest, ARequestThatReturnsKeepsItsFirstArrival) {
  RefusedCallers refused(100);
  const Time first(seconds(10));
  refused.OnRefused(kLookup, first, first + milliseconds(500));
  const auto arrival = refused.OnArrival(kLookup, first + milliseconds(512));
  EXPECT_EQ(arrival, first);
  // A second return is matched only after a second refusal.
  EXPECT_EQ(refused.OnArrival(kLookup, first + milliseconds(512)),
            std::nullopt);
}

TEST(RefusedCallersTest, AnotherCallerWithTheSameRequestIsNew) {
  RefusedCallers refused(100);
  const Time first(seconds(10));
  refused.OnRefused(kLookup, first, first + milliseconds(500));
  EXPECT_EQ(refused.OnArrival(kLookup, first + milliseconds(700)),
            std::nullopt);
  EXPECT_EQ(
      refused.OnArrival(DigestOf("GET /plans"), first + milliseconds(500)),
      std::nullopt);
}

TEST(RefusedCallersTest, EachOfSeveralCallersIsMatchedByItsDeadline) {
  RefusedCallers refused(100);
  for (int i = 0; i < 3; ++i) {
    const Time first(seconds(10 + i));
    refused.OnRefused(kLookup, first, first + milliseconds(500));
  }
  EXPECT_EQ(refused.OnArrival(kLookup, Time(seconds(11)) + milliseconds(500)),
            Time(seconds(11)));
}

TEST(RefusedCallersTest, ForgetsTheOldestRefusalAboveItsLimit) {
  RefusedCallers refused(2);
  for (int i = 0; i < 5; ++i) {
    const Time first(seconds(10 + i));
    refused.OnRefused(kLookup, first, first + milliseconds(500));
  }
  EXPECT_EQ(refused.size(), 2U);
  EXPECT_EQ(refused.OnArrival(kLookup, Time(seconds(10)) + milliseconds(500)),
            std::nullopt);
  EXPECT_NE(refused.OnArrival(kLookup, Time(seconds(14)) + milliseconds(500)),
            std::nullopt);
}

}  // namespace
}  // namespace ibisvalve::policy
