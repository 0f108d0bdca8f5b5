#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

#include "policy/policy.h"

namespace ibisvalve::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kMbps = 3.9;
constexpr uint64_t kUploadBytes = 60'000;
constexpr uint64_t kWindow = 24'375;  // 50 ms at 3.9 Mbit/s

AttemptId Id(uint64_t counter) {
  return {Incarnation{1}, counter, {}};
}

BodyCreditSettings Settings() {
  BodyCreditSettings settings;
  settings.link_mbps = kMbps;
  return settings;
}

// Pattern: recordings of many ingresses arrive at one host at the same time.
TEST(BodyCreditTest, ManySendersShareOneWindow) {
  BodyCredit credit(Settings());
  const Time now(seconds(10));
  for (uint64_t i = 1; i <= 20; ++i) {
    credit.Add(Id(i), kUploadBytes, 0, now + seconds(2), now);
    credit.Issue(now);
  }
  EXPECT_EQ(credit.window(), kWindow);
  EXPECT_EQ(credit.outstanding(now), kWindow);
  EXPECT_TRUE(credit.has_waiting());
}

TEST(BodyCreditTest, TheMostUrgentBodyGoesFirst) {
  BodyCredit credit(Settings());
  const Time now(seconds(10));
  credit.Add(Id(1), kUploadBytes, 0, now + seconds(2), now);
  EXPECT_EQ(credit.Issue(now).size(), 1U);
  credit.Add(Id(2), kUploadBytes, 0, now + seconds(1), now);
  EXPECT_TRUE(credit.Issue(now).empty());
  credit.OnReceived(Id(1), 8192, now);
  const auto grants = credit.Issue(now);
  ASSERT_EQ(grants.size(), 1U);
  EXPECT_EQ(grants[0], (BodyCredit::Grant{Id(2), 8192}));
}

TEST(BodyCreditTest, AStalledSenderDoesNotHoldCreditForever) {
  BodyCredit credit(Settings());
  const Time now(seconds(10));
  credit.Add(Id(1), kUploadBytes, 0, now + seconds(1), now);
  credit.Issue(now);
  credit.Add(Id(2), kUploadBytes, 0, now + seconds(2), now);
  EXPECT_TRUE(credit.Issue(now + milliseconds(299)).empty());
  const auto grants = credit.Issue(now + milliseconds(300));
  ASSERT_EQ(grants.size(), 1U);
  EXPECT_EQ(grants[0].id, Id(2));
}

TEST(BodyCreditTest, TheTransferTimeIncludesTheBodiesThatWait) {
  BodyCredit credit(Settings());
  const Time now(seconds(10));
  EXPECT_NEAR(static_cast<double>(credit.TransferTime(kUploadBytes).count()),
              123'000, 1'000);
  for (uint64_t i = 1; i <= 4; ++i) {
    credit.Add(Id(i), kUploadBytes, 0, now + seconds(2), now);
  }
  credit.Issue(now);
  EXPECT_NEAR(static_cast<double>(credit.TransferTime(kUploadBytes).count()),
              615'000, 1'000);
}

TEST(BodyCreditTest, AnUnknownLinkHasNoLimit) {
  BodyCredit credit(BodyCreditSettings{});
  const Time now(seconds(10));
  credit.Add(Id(1), 50'000'000, 0, now, now);
  uint64_t granted = 0;
  for (const auto& grant : credit.Issue(now)) {
    granted += grant.bytes;
  }
  EXPECT_EQ(granted, 50'000'000U);
}

// Every body is granted exactly its size, whatever the order of arrivals, and
// live senders never exceed the window.
RC_GTEST_PROP(BodyCreditTest, GrantsEachBodyExactlyOnce, ()) {
  BodyCredit credit(Settings());
  std::map<AttemptId, uint64_t> left;
  std::map<AttemptId, uint64_t> in_flight;
  Time now(seconds(10));
  const auto bodies = *rc::gen::inRange<uint64_t>(1, 8);
  for (uint64_t i = 1; i <= bodies; ++i) {
    left[Id(i)] = *rc::gen::inRange<uint64_t>(1, 100'000);
    credit.Add(Id(i), left[Id(i)], 0, now + milliseconds(i * 7 % 5), now);
  }
  while (!left.empty() || !in_flight.empty()) {
    for (const auto& grant : credit.Issue(now)) {
      RC_ASSERT(grant.bytes <= left[grant.id]);
      left[grant.id] -= grant.bytes;
      in_flight[grant.id] += grant.bytes;
    }
    std::erase_if(left, [](const auto& entry) { return entry.second == 0; });
    RC_ASSERT(credit.outstanding(now) <= credit.window());
    RC_ASSERT(!in_flight.empty());
    const auto index = *rc::gen::inRange<size_t>(0, in_flight.size());
    const auto sender =
        std::next(in_flight.begin(), static_cast<std::ptrdiff_t>(index));
    credit.OnReceived(sender->first, sender->second, now);
    in_flight.erase(sender);
    now += milliseconds(1);
  }
  RC_ASSERT(!credit.has_waiting());
}

}  // namespace
}  // namespace ibisvalve::policy
