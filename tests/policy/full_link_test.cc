#include <gtest/gtest.h>

#include "policy/policy.h"

namespace ibisvalve::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kMbps = 8.6;
constexpr double kUploadKib = 60;

// Returns a meter after two seconds with `uploads` uploads per second.
LinkMeter MeterAfterUploads(int uploads, Time& now) {
  LinkMeter meter(kMbps);
  for (int i = 0; i < 2 * uploads; ++i) {
    now += Duration(seconds(1)) / uploads;
    meter.Add(static_cast<uint64_t>(kUploadKib * 1024), now);
  }
  return meter;
}

TEST(LinkMeterTest, TransferTimeRisesWithUtilization) {
  Time now(seconds(100));
  EXPECT_NEAR(
      static_cast<double>(LinkMeter(kMbps).TransferTimePerKib(now).count()),
      952, 2);
  const Duration half = MeterAfterUploads(9, now).TransferTimePerKib(now);
  const Duration full = MeterAfterUploads(17, now).TransferTimePerKib(now);
  EXPECT_GT(half, std::chrono::microseconds(1600));
  EXPECT_GT(full, 3 * half);
}

TEST(LinkMeterTest, RecoversAfterABurst) {
  Time now(seconds(100));
  const LinkMeter meter = MeterAfterUploads(17, now);
  EXPECT_LT(meter.TransferTimePerKib(now + seconds(2)), milliseconds(1));
}

TEST(LinkMeterTest, ReturnsZeroWithoutAKnownCapacity) {
  LinkMeter meter(0);
  meter.Add(1'000'000, Time(seconds(1)));
  EXPECT_EQ(meter.TransferTimePerKib(Time(seconds(1))), Duration(0));
}

// Guards against sending all uploads of a zone to its own targets while their
// links are saturated and the links of other zones are not.
TEST(FullLinkTest, AnUploadLeavesItsZoneIfItsLinksAreSaturated) {
  const Time now(seconds(100));
  std::vector<Candidate> candidates(2);
  candidates[0].id = NodeId("near");
  candidates[0].same_zone = true;
  candidates[1].id = NodeId("far");
  for (Candidate& candidate : candidates) {
    candidate.slots = 13;
    candidate.hint_time = now;
    candidate.hint_transfer_per_kib = milliseconds(1);
  }
  const ExpectedValueChooser chooser;
  Random random(1);
  const RequestTerms upload{seconds(1), milliseconds(2500), milliseconds(280),
                            kUploadKib};
  EXPECT_EQ(chooser.Choose(candidates, upload, now, random).index, 0U);
  candidates[0].hint_transfer_per_kib = milliseconds(19);
  EXPECT_EQ(chooser.Choose(candidates, upload, now, random).index, 1U);
}

// Pattern: an ingress hears of each of 200 gates rarely. The backlog of a link
// lasts longer than the load of a target, so an older hint still counts.
TEST(FullLinkTest, AHintOfASaturatedLinkCountsForSeconds) {
  const Time now(seconds(100));
  std::vector<Candidate> candidates(2);
  candidates[0].id = NodeId("near");
  candidates[0].same_zone = true;
  candidates[0].hint_transfer_per_kib = milliseconds(24);
  candidates[1].id = NodeId("far");
  candidates[1].hint_transfer_per_kib = milliseconds(2);
  for (Candidate& candidate : candidates) {
    candidate.slots = 16;
    candidate.hint_time = now - milliseconds(1600);
  }
  const ExpectedValueChooser chooser;
  Random random(1);
  const RequestTerms upload{seconds(2), seconds(6), seconds(1), kUploadKib};
  EXPECT_EQ(chooser.Choose(candidates, upload, now, random).index, 1U);
}

TEST(LinkMeterTest, TheBacklogOfBodiesDelaysALargeBody) {
  const LinkMeter meter(kMbps);
  const Duration per_kib =
      meter.TransferTimePerKib(Time(seconds(1)), milliseconds(640));
  EXPECT_GT(kUploadKib * per_kib, milliseconds(640));
}

}  // namespace
}  // namespace ibisvalve::policy
