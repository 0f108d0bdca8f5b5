#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>

#include "ctl/fake_daemon.h"

namespace ibisvalve::ctl {
namespace {

using testing::HasSubstr;
using testing::StartsWith;

const char kFleetPage[] = R"({"leader":"k1","active":3,"nodes":[]})";
const char kActive[] =
    R"({"result":"active","revision":4,"digest":"00ff","active":4})";
const char kStaged[] =
    R"({"result":"staged","revision":4,"active":3,"hosts":["suva-2"]})";

net::AdminResponse Json(const std::string& body, int status = 200) {
  return net::AdminResponse{status, "application/json", body};
}

class ApplyTest : public testing::Test {
 protected:
  Options ApplyOptions() {
    Options options;
    options.command = "apply";
    options.arguments = {std::string(IBIS_SOURCE_DIR) + "/examples/tavua.yaml"};
    options.admins = {keeper_.admin()};
    options.change = "c1";
    return options;
  }

  net::EventLoop loop_;
  FakeDaemon keeper_{loop_};
};

TEST_F(ApplyTest, PrintsItsIdFirstAndSendsTheActiveRevisionAsBase) {
  keeper_.On("GET", "/fleet", kFleetPage);
  keeper_.On("POST", "/apply", kActive);
  Options options = ApplyOptions();
  options.change.clear();
  const CommandResult result = RunWith(loop_, options);
  EXPECT_EQ(result.code, ExitCode::kOk);
  EXPECT_THAT(result.err, StartsWith("change change-"));
  EXPECT_EQ(result.out, "in force everywhere as revision 4 (00ff)\n");
  ASSERT_EQ(keeper_.requests.size(), 2U);
  EXPECT_EQ(keeper_.requests[1].query.at("base"), "3");
  EXPECT_THAT(keeper_.requests[1].body, HasSubstr("bookdesk"));
}

TEST_F(ApplyTest, PollsWhileStagedAndReportsTheFinalResult) {
  keeper_.On("GET", "/fleet", kFleetPage);
  keeper_.On("POST", "/apply", kStaged);
  int polls = 0;
  keeper_.On("GET", "/apply", [&](const net::AdminRequest& request) {
    EXPECT_EQ(request.query.at("change"), "c1");
    return Json(++polls < 3 ? kStaged
                            : R"({"result":"withdrawn","revision":4,)"
                              R"("active":3,"detail":"no answer",)"
                              R"("hosts":["suva-2"]})");
  });
  const CommandResult result = RunWith(loop_, ApplyOptions());
  EXPECT_EQ(result.code, ExitCode::kRefused);
  EXPECT_EQ(result.out,
            "withdrawn; revision 3 stays in force\nno answer\n"
            "  in the way: suva-2\n");
  EXPECT_EQ(polls, 3);
}

TEST_F(ApplyTest, SendsTheSameChangeToTheNextKeeperWhenAnAnswerIsLost) {
  FakeDaemon other(loop_);
  keeper_.On("GET", "/fleet", kFleetPage);
  keeper_.On("POST", "/apply",
             [](const net::AdminRequest&) { return Json("", 0); });
  other.On("POST", "/apply", kActive);
  Options options = ApplyOptions();
  options.admins.push_back(other.admin());
  options.call_timeout = std::chrono::milliseconds(100);
  const CommandResult result = RunWith(loop_, options);
  EXPECT_EQ(result.code, ExitCode::kOk);
  ASSERT_EQ(other.requests.size(), 1U);
  EXPECT_EQ(other.requests[0].query, keeper_.requests[1].query);
  EXPECT_EQ(other.requests[0].body, keeper_.requests[1].body);
}

TEST_F(ApplyTest, TriesAgainUntilThereIsAMajority) {
  keeper_.On("GET", "/fleet", kFleetPage);
  int tries = 0;
  keeper_.On("POST", "/apply", [&](const net::AdminRequest&) {
    return ++tries < 3 ? Json(R"({"result":"unavailable"})", 503)
                       : Json(kActive);
  });
  EXPECT_EQ(RunWith(loop_, ApplyOptions()).code, ExitCode::kOk);
  EXPECT_EQ(tries, 3);
}

TEST_F(ApplyTest, ReportsUnknownOutcomeOnTimeout) {
  keeper_.On("GET", "/fleet", kFleetPage);
  keeper_.On("POST", "/apply", [](const net::AdminRequest&) {
    return Json(R"({"result":"unavailable","detail":"no majority"})", 503);
  });
  Options options = ApplyOptions();
  options.timeout = std::chrono::milliseconds(50);
  const CommandResult result = RunWith(loop_, options);
  EXPECT_EQ(result.code, ExitCode::kUnknown);
  EXPECT_THAT(result.err, HasSubstr("no majority"));
  EXPECT_THAT(result.err, HasSubstr("ibisctl apply --change c1 --base 3"));
  EXPECT_GE(keeper_.requests.size(), 2U);
}

TEST_F(ApplyTest, ConflictReportsTheAcceptedChange) {
  keeper_.On("GET", "/fleet", kFleetPage);
  keeper_.On("POST", "/apply", [](const net::AdminRequest&) {
    return Json(R"({"result":"conflict","revision":4,"digest":"abcd"})", 409);
  });
  const CommandResult result = RunWith(loop_, ApplyOptions());
  EXPECT_EQ(result.code, ExitCode::kRefused);
  EXPECT_EQ(result.out, "refused: another change won as revision 4 (abcd)\n");
}

TEST_F(ApplyTest, SendsNothingIfNoKeeperIsReachableOrTheFileIsInvalid) {
  Options options = ApplyOptions();
  options.admins = {ClosedEndpoint(loop_)};
  EXPECT_EQ(RunWith(loop_, options).code, ExitCode::kUnreachable);
  options = ApplyOptions();
  options.arguments = {std::string(IBIS_SOURCE_DIR) +
                       "/examples/settings-node.yaml"};
  EXPECT_EQ(RunWith(loop_, options).code, ExitCode::kUsage);
  options.arguments = {"/no/such/file"};
  EXPECT_EQ(RunWith(loop_, options).code, ExitCode::kUsage);
  EXPECT_TRUE(keeper_.requests.empty());
}

}  // namespace
}  // namespace ibisvalve::ctl
