#include <unistd.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "bench/common/byte_stream.h"
#include "bench/common/duration_parser.h"
#include "bench/common/service_model.h"
#include "bench/target/target_server.h"
#include "gtest/gtest.h"

namespace ibisvalve::bench {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(20);

TEST(ByteStreamTest, IsIndependentOfReadSizes) {
  ByteStream whole(7);
  ByteStream pieces(7);
  const std::string expected = whole.Next(1000);
  std::string joined;
  for (const size_t size : {13, 487, 500}) {
    joined += pieces.Next(size);
  }
  EXPECT_EQ(joined, expected);
}

TEST(DurationParserTest, RequiresAUnit) {
  EXPECT_EQ(ParseDuration("2.5ms"), Duration(2500));
  EXPECT_EQ(ParseDuration("3s"), Duration(3'000'000));
  EXPECT_EQ(ParseDuration("7us"), Duration(7));
  for (const char* text : {"", "5", "ms", "-1s", "1 s", "1sec", "nans"}) {
    EXPECT_EQ(ParseDuration(text), std::nullopt) << text;
  }
}

TEST(ServiceModelTest, MatchesItsMeanAndFactors) {
  ServiceSettings settings;
  settings.mean = std::chrono::milliseconds(10);
  for (const auto distribution :
       {Distribution::kFixed, Distribution::kExponential,
        Distribution::kLogNormal}) {
    settings.distribution = distribution;
    ServiceModel model(settings, /*seed=*/1, Time{});
    model.SetStraggler(3);
    constexpr int kDraws = 20'000;
    double sum = 0;
    for (int i = 0; i < kDraws; ++i) {
      sum += static_cast<double>(model.DrawServiceTime(Time{}).count());
    }
    EXPECT_NEAR(sum / kDraws, 30'000, 1'500);
  }
}

TEST(ServiceModelTest, IsNoisyForTheConfiguredShareOfTime) {
  ServiceSettings settings;
  settings.mean = std::chrono::milliseconds(1);
  settings.noise_factor = 10;
  settings.noise_share = 0.25;
  ServiceModel model(settings, /*seed=*/1, Time{});
  int noisy = 0;
  constexpr int kDraws = 100'000;
  for (int i = 0; i < kDraws; ++i) {
    const Time now{Duration(i * 1000LL)};
    noisy += model.DrawServiceTime(now) > std::chrono::milliseconds(5) ? 1 : 0;
  }
  EXPECT_NEAR(static_cast<double>(noisy) / kDraws, 0.25, 0.03);
}

TEST(ServiceModelTest, WarmsUp) {
  ServiceSettings settings;
  settings.mean = std::chrono::milliseconds(1);
  settings.cold_factor = 5;
  settings.cold_length = std::chrono::seconds(2);
  ServiceModel model(settings, /*seed=*/1, Time{});
  EXPECT_EQ(model.DrawServiceTime(Time{}), std::chrono::milliseconds(5));
  EXPECT_EQ(model.DrawServiceTime(Time{std::chrono::seconds(1)}),
            std::chrono::milliseconds(3));
  EXPECT_EQ(model.DrawServiceTime(Time{std::chrono::seconds(2)}),
            std::chrono::milliseconds(1));
}

class TargetServerTest : public testing::Test {
 protected:
  TargetServerTest()
      : deadline_(loop_, [this] {
          ADD_FAILURE() << "timed out waiting for the fake target";
          loop_.Stop();
        }) {
    deadline_.StartOnce(kTimeout);
    settings_.service.mean = std::chrono::milliseconds(2);
  }

  // Sends all requests concurrently and returns when each has a response.
  std::vector<net::HttpResult> Fetch(const TargetServer& server,
                                     const std::string& method,
                                     const std::vector<std::string>& paths,
                                     const std::string& body = "") {
    std::vector<net::HttpResult> results(paths.size());
    size_t left = paths.size();
    for (size_t i = 0; i < paths.size(); ++i) {
      net::FetchHttp(loop_, server.local(), method, paths[i], body, kTimeout,
                     [&, i](const net::HttpResult& result) {
                       results[i] = result;
                       if (--left == 0) {
                         loop_.Stop();
                       }
                     });
    }
    loop_.Run();
    return results;
  }

  net::EventLoop loop_;
  net::Timer deadline_;
  TargetSettings settings_;
};

TEST_F(TargetServerTest, RunsAtMostItsSlotsAndLogsEachRun) {
  settings_.slots = 2;
  settings_.run_log =
      testing::TempDir() + "/ibis_run_log_" + std::to_string(getpid());
  unlink(settings_.run_log.c_str());
  TargetServer server(loop_, settings_);
  for (const auto& result : Fetch(server, "GET", {"/a", "/b", "/c", "/d"})) {
    EXPECT_EQ(result.status, 200);
  }
  std::ifstream log(settings_.run_log);
  std::string line;
  int running = 0;
  int starts = 0;
  while (std::getline(log, line)) {
    const bool start = line.starts_with("start ");
    starts += start ? 1 : 0;
    EXPECT_NE(line.find(" key=- "), std::string::npos) << line;
    running += start ? 1 : -1;
    EXPECT_LE(running, 2);
  }
  EXPECT_EQ(starts, 4);
  EXPECT_EQ(running, 0);
  unlink(settings_.run_log.c_str());
}

TEST_F(TargetServerTest, EchoesAndStreams) {
  TargetServer server(loop_, settings_);
  const auto echo = Fetch(server, "POST", {"/echo"}, "text").at(0);
  const auto answer = nlohmann::json::parse(echo.body);
  EXPECT_EQ(answer.at("request"), "POST /echo");
  EXPECT_EQ(answer.at("size"), 4);
  EXPECT_EQ(answer.at("digest"), ToHex(DigestOf("text")));
  const auto bytes = Fetch(server, "GET", {"/bytes?size=300000&seed=9"}).at(0);
  EXPECT_EQ(bytes.body, ByteStream(9).Next(300000));
  const auto cut =
      Fetch(server, "GET", {"/bytes?size=300000&seed=9&cut=1000"}).at(0);
  EXPECT_EQ(cut.status, 0);
}

TEST_F(TargetServerTest, FailsImmediatelyInFailMode) {
  TargetServer server(loop_, settings_);
  EXPECT_EQ(Fetch(server, "POST", {"/control?mode=fail"}).at(0).status, 200);
  EXPECT_EQ(Fetch(server, "GET", {"/a"}).at(0).status, 500);
  EXPECT_EQ(Fetch(server, "POST", {"/control?mode=normal"}).at(0).status, 200);
  EXPECT_EQ(Fetch(server, "GET", {"/a"}).at(0).status, 200);
}

TEST_F(TargetServerTest, RetriesAnnouncementUntilAccepted) {
  std::vector<std::string> states;
  net::AdminServer node(loop_, {"127.0.0.1", 0});
  node.Handle("POST", "/announce",
              [&](const net::AdminRequest& request, auto reply) {
                const auto body = nlohmann::json::parse(request.body);
                states.push_back(body.at("state"));
                reply({states.size() == 1 ? 503 : 200, "text/plain", ""});
                if (states.size() == 2) {
                  loop_.Stop();
                }
              });
  settings_.announce = node.local();
  TargetServer server(loop_, settings_);
  loop_.Run();
  server.Stop([&] { loop_.Stop(); });
  loop_.Run();
  EXPECT_EQ(states, (std::vector<std::string>{"ready", "ready", "draining"}));
}

}  // namespace
}  // namespace ibisvalve::bench
