#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

#include "observe/observe.h"

namespace ibisvalve::observe {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using testing::ElementsAre;
using testing::SizeIs;

constexpr uint64_t kMinute = 60'000'000;
constexpr uint64_t kStart = 1'700'000'000'000'000 / kMinute * kMinute;

RequestSample Answered(Duration took) {
  RequestSample sample;
  sample.service = ServiceName("ledger");
  sample.gate = NodeId("suva-1");
  sample.gate_zone = ZoneName("suva");
  sample.outcome = world::Outcome::kAnswered;
  sample.status = 200;
  sample.took = took;
  return sample;
}

RequestSample Refused(world::Reason reason) {
  RequestSample sample = Answered(milliseconds(1));
  sample.outcome = world::Outcome::kNotRun;
  sample.reason = reason;
  sample.status = 503;
  return sample;
}

world::Fleet OneService() {
  world::Fleet fleet;
  world::Service service;
  service.name = ServiceName("ledger");
  service.objective = world::Objective{0.9, milliseconds(100)};
  fleet.services = {service};
  return fleet;
}

class BurnMeterTest : public testing::Test {
 protected:
  BurnMeterTest() { meter_.Configure(OneService()); }
  // Returns the counts of window `index` in a report made at `wall_us`.
  BurnCounts<uint64_t> Window(size_t index, uint64_t wall_us) const {
    return meter_.Report(wall_us).services.at(0).windows.at(index).counts;
  }

  BurnMeter meter_;
};

TEST_F(BurnMeterTest, ClassifiesRequestsByEnding) {
  meter_.Add(Answered(milliseconds(100)), kStart);
  meter_.Add(Answered(milliseconds(101)), kStart);
  meter_.Add(Refused(world::Reason::kBusy), kStart);
  meter_.Add(Refused(world::Reason::kKeyRequired), kStart);
  RequestSample sample = Answered(milliseconds(1));
  sample.status = 502;
  meter_.Add(sample, kStart);
  sample.hung_up = true;
  meter_.Add(sample, kStart);
  sample = Refused(world::Reason::kLinkLost);
  sample.outcome = world::Outcome::kUnknown;
  meter_.Add(sample, kStart);
  const BurnCounts<uint64_t> counts = Window(0, kStart);
  EXPECT_THAT(counts.endings, ElementsAre(1, 1, 1, 1, 1, 1, 1));
  EXPECT_EQ(counts.reasons[static_cast<size_t>(world::Reason::kBusy)], 1U);
  EXPECT_EQ(CoveredRequests(counts), 6U);
  EXPECT_EQ(BadRequests(counts), 5U);
}

TEST_F(BurnMeterTest, BurnRateIsTheBadShareOverTheAllowedShare) {
  for (int i = 0; i < 8; ++i) {
    meter_.Add(Answered(milliseconds(1)), kStart);
  }
  meter_.Add(Answered(milliseconds(200)), kStart);
  meter_.Add(Refused(world::Reason::kBusy), kStart);
  const ServiceBurn burn = meter_.Report(kStart).services.at(0);
  EXPECT_DOUBLE_EQ(*BurnRate(burn.windows[0].counts, *burn.objective), 2.0);
  EXPECT_DOUBLE_EQ(*BudgetLeft(burn.windows[3], *burn.objective), -1.0);
  EXPECT_FALSE(BurnRate({}, *burn.objective).has_value());
}

TEST_F(BurnMeterTest, WindowsExcludeOlderRequests) {
  meter_.Add(Answered(milliseconds(1)), kStart);
  const std::vector<std::pair<uint64_t, std::vector<uint64_t>>> cases = {
      {5, {1, 1, 1, 1}},    {6, {0, 1, 1, 1}},   {60, {0, 1, 1, 1}},
      {61, {0, 0, 1, 1}},   {360, {0, 0, 1, 1}}, {371, {0, 0, 0, 1}},
      {4320, {0, 0, 0, 1}}, {4381, {0, 0, 0, 0}}};
  for (const auto& [after, expected] : cases) {
    for (size_t i = 0; i < expected.size(); ++i) {
      EXPECT_EQ(CoveredRequests(Window(i, kStart + after * kMinute)),
                expected[i])
          << after << " minutes, window " << i;
    }
  }
}

TEST_F(BurnMeterTest, CountsRequestsAfterTheClockIsSetBack) {
  meter_.Add(Answered(milliseconds(1)), kStart);
  meter_.Add(Answered(milliseconds(1)), kStart - 600 * kMinute);
  EXPECT_EQ(CoveredRequests(Window(0, kStart - 600 * kMinute)), 2U);
}

TEST_F(BurnMeterTest, CountsOnlyServicesOfTheFleet) {
  RequestSample sample = Answered(milliseconds(1));
  sample.service = ServiceName("guessed");
  meter_.Add(sample, kStart);
  EXPECT_THAT(meter_.Report(kStart).services, SizeIs(1));
  meter_.Add(Answered(milliseconds(1)), kStart);
  meter_.Configure(OneService());
  EXPECT_EQ(CoveredRequests(Window(0, kStart)), 1U);
  meter_.Configure(world::Fleet{});
  EXPECT_THAT(meter_.Report(kStart).services, SizeIs(0));
}

TEST_F(BurnMeterTest, MemoryOfAServiceIsBounded) {
  EXPECT_LT(BurnMeter::BytesPerService(), 256U << 10U);
}

TEST(WorstListTest, KeepsTheWorstNamesAndSumsTheOthers) {
  WorstList list(2);
  for (int i = 0; i < 5; ++i) {
    list.Add("bad", true);
  }
  list.Add("good", false);
  list.Add("new", true);
  EXPECT_THAT(list.Sorted(),
              ElementsAre(WorstEntry{"bad", 5, 5}, WorstEntry{"new", 1, 1},
                          WorstEntry{"others", 1, 0}));
}

// Generates latencies in microseconds over the whole range of the buckets and
// beyond both ends.
rc::Gen<std::vector<int64_t>> Latencies() {
  return rc::gen::container<std::vector<int64_t>>(
      rc::gen::inRange<int64_t>(0, 200'000'000));
}

RC_GTEST_PROP(LatencyHistogramTest,
              MergedHistogramsEqualTheHistogramOfAllSamples,
              ()) {
  const std::vector<int64_t> one = *Latencies();
  const std::vector<int64_t> other = *Latencies();
  LatencyHistogram<uint32_t> first;
  LatencyHistogram<uint32_t> second;
  LatencyHistogram<uint64_t> all;
  for (const int64_t micros : one) {
    first.Add(Duration(micros));
    all.Add(Duration(micros));
  }
  for (const int64_t micros : other) {
    second.Add(Duration(micros));
    all.Add(Duration(micros));
  }
  LatencyHistogram<uint64_t> merged;
  merged.Merge(second);
  merged.Merge(first);
  RC_ASSERT(merged == all);
}

RC_GTEST_PROP(LatencyHistogramTest, QuantileErrorIsAtMostOneEighth, ()) {
  std::vector<int64_t> micros =
      *rc::gen::nonEmpty(rc::gen::container<std::vector<int64_t>>(
          rc::gen::inRange<int64_t>(128, 134'000'000)));
  LatencyHistogram<uint64_t> histogram;
  for (const int64_t latency : micros) {
    histogram.Add(Duration(latency));
  }
  std::sort(micros.begin(), micros.end());
  const auto exact = static_cast<double>(micros[(micros.size() + 1) / 2 - 1]);
  const auto median = static_cast<double>(histogram.Quantile(0.5).count());
  RC_ASSERT(median > exact);
  RC_ASSERT(median <= exact * 1.126 + 1);
}

RC_GTEST_PROP(BurnReportTest, MergingReportsEqualsOneMeterOfAllRequests, ()) {
  BurnMeter parts[3];
  BurnMeter whole;
  for (BurnMeter& part : parts) {
    part.Configure(OneService());
  }
  whole.Configure(OneService());
  const auto count = *rc::gen::inRange(0, 100);
  uint64_t when = kStart;
  for (int i = 0; i < count; ++i) {
    RequestSample sample = Answered(Duration(*rc::gen::inRange(0, 300'000)));
    sample.outcome = static_cast<world::Outcome>(*rc::gen::inRange(0, 3));
    sample.reason = static_cast<world::Reason>(*rc::gen::inRange(0, 21));
    sample.gate_zone = ZoneName(*rc::gen::element("suva", "nadi"));
    // All meters use the same wall clock, which never runs backwards here.
    when += static_cast<uint64_t>(*rc::gen::inRange(0, 4)) * kMinute;
    parts[*rc::gen::inRange(0, 3)].Add(sample, when);
    whole.Add(sample, when);
  }
  const uint64_t now = when + kMinute;
  BurnReport merged;
  for (const BurnMeter& part : parts) {
    const auto parsed = ParseReport(part.Json(now));
    RC_ASSERT(parsed.has_value());
    MergeReport(merged, *parsed);
  }
  RC_ASSERT(merged == whole.Report(now));
}

RC_GTEST_PROP(BurnReportTest,
              ArbitraryTextIsNotAReport,
              (const std::string& text)) {
  RC_ASSERT(!ParseReport(text).has_value());
}

TEST(BurnReportTest, DamagedReportsAreRefused) {
  BurnMeter meter;
  meter.Configure(OneService());
  meter.Add(Answered(milliseconds(3)), kStart);
  const std::string text = meter.Json(kStart);
  ASSERT_TRUE(ParseReport(text).has_value());
  for (const auto& [from, to] :
       std::vector<std::pair<std::string, std::string>>{
           {"\"version\":1", "\"version\":2"},
           {"\"in_time\":1", "\"in_time\":-1"},
           {"\"latency\":[[", "\"latency\":[[9"},
           {"\"zones\":[{", "\"zones\":[7,{"}}) {
    std::string damaged = text;
    const size_t place = damaged.find(from);
    ASSERT_NE(place, std::string::npos) << from;
    damaged.replace(place, from.size(), to);
    EXPECT_FALSE(ParseReport(damaged).has_value()) << to;
  }
}

}  // namespace
}  // namespace ibisvalve::observe
