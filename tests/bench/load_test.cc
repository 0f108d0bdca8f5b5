#include <gtest/gtest.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <string>

#include "bench/common/latency_histogram.h"
#include "bench/load/load_generator.h"
#include "bench/target/target_server.h"

namespace ibisvalve::bench {
namespace {

TEST(LatencyHistogramTest, IsWithinOnePercent) {
  LatencyHistogram histogram;
  EXPECT_EQ(histogram.ValueAtQuantile(0.5), Duration(0));
  for (int i = 1; i <= 100'000; ++i) {
    histogram.Record(Duration(i * 10));
  }
  for (const double quantile : {0.001, 0.5, 0.9, 0.99, 0.999}) {
    const double exact = quantile * 1e6;
    const auto got =
        static_cast<double>(histogram.ValueAtQuantile(quantile).count());
    EXPECT_GE(got, exact - 10);
    EXPECT_LE(got, exact * 1.01);
  }
  EXPECT_EQ(histogram.max(), Duration(1'000'000));
  EXPECT_EQ(histogram.ValueAtQuantile(1), Duration(1'000'000));
  LatencyHistogram other;
  other.Record(std::chrono::seconds(1000));
  histogram.Merge(other);
  EXPECT_EQ(histogram.count(), 100'001U);
  EXPECT_EQ(histogram.max(), std::chrono::seconds(1000));
}

class LoadGeneratorTest : public testing::Test {
 protected:
  LoadGeneratorTest()
      : timeout_timer_(loop_, [this] {
          ADD_FAILURE() << "timed out waiting for the load generator";
          loop_.Stop();
        }) {
    timeout_timer_.StartOnce(std::chrono::seconds(60));
    settings_.rate = 2000;
    settings_.max_requests = 200;
  }

  LoadReport Run(const world::Endpoint& endpoint) {
    settings_.endpoints = {endpoint};
    LoadReport report;
    LoadGenerator generator(loop_, settings_, [&](const LoadReport& ended) {
      report = ended;
      loop_.Stop();
    });
    loop_.Run();
    return report;
  }

  net::EventLoop loop_;
  net::Timer timeout_timer_;
  LoadSettings settings_;
};

TEST_F(LoadGeneratorTest, CountsCompleteResponsesOfEveryKind) {
  TargetSettings target;
  target.slots = 10;
  target.service.mean = std::chrono::milliseconds(1);
  TargetServer server(loop_, target);
  settings_.mix = {{"roomfinder", 1, 0.5}};
  const LoadReport report = Run(server.local());
  EXPECT_EQ(report.scheduled, 200U);
  EXPECT_EQ(report.answered, 200U);
  EXPECT_EQ(report.latency.count(), 200U);
  EXPECT_EQ(report.swapped + report.broken + report.unfinished, 0U);
}

TEST_F(LoadGeneratorTest, LatencyIncludesWaitForAFreeConnection) {
  TargetSettings target;
  target.slots = 10;
  target.service.mean = std::chrono::milliseconds(20);
  TargetServer server(loop_, target);
  settings_.connections = 1;
  settings_.max_requests = 20;
  const LoadReport report = Run(server.local());
  EXPECT_EQ(report.answered, 20U);
  EXPECT_EQ(report.connections, 1U);
  // The requests run one after another, although the schedule starts them all
  // within about 10 ms.
  EXPECT_GT(report.latency.max(), std::chrono::milliseconds(300));
}

TEST_F(LoadGeneratorTest, DetectsSwappedResponsesAndFailures) {
  net::AdminServer server(loop_, {"127.0.0.1", 0});
  settings_.max_requests = 10;
  settings_.rate = 100;
  for (int i = 0; i < 10; ++i) {
    const std::string name = "load-1-" + std::to_string(i);
    const std::string path = "/rooms/" + name;
    server.Handle(
        "GET", path, [=](const net::AdminRequest&, const auto& reply) {
          const std::string other = i == 3 ? "load-1-4" : name;
          reply({i == 5 ? 500 : 200, "application/json",
                 nlohmann::json{{"name", other}, {"path", path}}.dump()});
        });
  }
  const LoadReport report = Run(server.local());
  EXPECT_EQ(report.swapped, 1U);
  EXPECT_EQ(report.failed, 1U);
  EXPECT_EQ(report.answered, 8U);
}

TEST_F(LoadGeneratorTest, CountsBrokenResponses) {
  TargetSettings target;
  TargetServer server(loop_, target);
  net::Listener closes(loop_, {"127.0.0.1", 0}, [](int fd) { close(fd); });
  settings_.max_requests = 20;
  const LoadReport report = Run(closes.local());
  EXPECT_EQ(report.broken, 20U);
}

}  // namespace
}  // namespace ibisvalve::bench
