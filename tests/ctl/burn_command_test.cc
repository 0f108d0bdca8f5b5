#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <string>

#include "ctl/fake_daemon.h"
#include "observe/observe.h"

namespace ibisvalve::ctl {
namespace {

using std::chrono::milliseconds;
using testing::HasSubstr;
using testing::Not;

world::Fleet OneService() {
  world::Fleet fleet;
  world::Service service;
  service.name = ServiceName("led<ger");
  service.objective = world::Objective{0.9, milliseconds(100)};
  fleet.services = {service};
  return fleet;
}

// Serves the member list and burn report of one node. The list also has a node
// that does not answer and one that has left.
class BurnCommandTest : public testing::Test {
 protected:
  BurnCommandTest() {
    daemon_.On("GET", "/members",
               R"({"members":[{"id":"a","state":"alive","admin":")" +
                   world::ToString(daemon_.admin()) +
                   R"("},{"id":"b","state":"suspect","admin":")" +
                   world::ToString(ClosedEndpoint(loop_)) +
                   R"("},{"id":"c","state":"left","admin":"127.0.0.1:1"}]})");
    daemon_.On("GET", "/burn", Burn());
  }
  static std::string Burn() {
    observe::BurnMeter meter;
    meter.Configure(OneService());
    observe::RequestSample sample;
    sample.service = ServiceName("led<ger");
    sample.gate_zone = ZoneName("suva");
    sample.outcome = world::Outcome::kAnswered;
    sample.took = milliseconds(5);
    for (int i = 0; i < 3; ++i) {
      meter.Add(sample, WallMicros());
    }
    sample.took = milliseconds(500);
    meter.Add(sample, WallMicros());
    return meter.Json(WallMicros());
  }
  CommandResult Report(OutputFormat output, const std::string& html) {
    Options options;
    options.command = "report";
    options.arguments = {"burn"};
    options.admins = {daemon_.admin()};
    options.output = output;
    options.html = html;
    return RunWith(loop_, options);
  }

  net::EventLoop loop_;
  FakeDaemon daemon_{loop_};
};

TEST_F(BurnCommandTest, MergesNodesAndListsUnreachableOnes) {
  const CommandResult result = Report(OutputFormat::kTable, "");
  EXPECT_EQ(result.code, ExitCode::kRefused);
  EXPECT_THAT(result.out,
              testing::ContainsRegex("led<ger +90% in 100ms +5m +4 +3 +1 +0 "
                                     "+0 +0 +0 +2.50 +-150.0%"));
  EXPECT_THAT(result.err, HasSubstr("read from 1 nodes"));
  EXPECT_THAT(result.err, HasSubstr("could not be read: 127.0.0.1:"));
}

TEST_F(BurnCommandTest, JsonHoldsTheWholeReport) {
  const CommandResult result = Report(OutputFormat::kJson, "");
  const nlohmann::json json = nlohmann::json::parse(result.out);
  EXPECT_EQ(json["nodes"], 1);
  EXPECT_EQ(json["unreachable"].size(), 1U);
  EXPECT_EQ(json["services"][0]["windows"][3]["counts"]["late"], 1);
  EXPECT_DOUBLE_EQ(json["services"][0]["windows"][0]["burn_rate"], 2.5);
}

TEST_F(BurnCommandTest, ThePageNeedsNoOtherFileAndEscapesNames) {
  const std::string file = testing::TempDir() + "/burn_page_test.html";
  Report(OutputFormat::kTable, file);
  std::ifstream stream(file);
  const std::string page((std::istreambuf_iterator<char>(stream)),
                         std::istreambuf_iterator<char>());
  EXPECT_THAT(page, HasSubstr("<h2>led&lt;ger</h2>"));
  EXPECT_THAT(page, HasSubstr("<svg"));
  EXPECT_THAT(page, Not(HasSubstr("led<ger")));
  EXPECT_THAT(page, Not(HasSubstr("http://")));
  EXPECT_THAT(page, Not(HasSubstr("<script")));
}

}  // namespace
}  // namespace ibisvalve::ctl
