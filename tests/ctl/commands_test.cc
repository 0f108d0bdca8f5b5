#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>

#include "ctl/fake_daemon.h"
#include "ctl/line_diff.h"
#include "ctl/validate.h"

namespace ibisvalve::ctl {
namespace {

using testing::HasSubstr;
using testing::SizeIs;

class CommandsTest : public testing::Test {
 protected:
  CommandResult Run(const std::string& command,
                    const std::vector<std::string>& arguments = {}) {
    Options options;
    options.command = command;
    options.arguments = arguments;
    options.admins = {daemon_.admin()};
    options.output = output_;
    return RunWith(loop_, options);
  }
  void ServeMembers() {
    daemon_.On("GET", "/members",
               R"({"members":[{"id":"suva-1","zone":"suva","state":"alive",)"
               R"("service":"ledger","target":"ready","slots":20,"admin":")" +
                   world::ToString(daemon_.admin()) + R"("}]})");
  }

  net::EventLoop loop_;
  FakeDaemon daemon_{loop_};
  OutputFormat output_ = OutputFormat::kTable;
};

TEST_F(CommandsTest, UnknownCommandsAreUsageErrors) {
  const CommandResult result = Run("aply");
  EXPECT_EQ(result.code, ExitCode::kUsage);
  EXPECT_THAT(result.err, HasSubstr("did you mean apply?"));
}

TEST_F(CommandsTest, StatusShowsNodesThatCannotBeReached) {
  daemon_.On(
      "GET", "/fleet",
      R"({"leader":"k1","active":4,"nodes":[)"
      R"({"id":"suva-1","zone":"suva","service":"ledger","revision":4,)"
      R"("staged":0,"since_us":1700000000000000,"lease":true,)"
      R"("status":{"target":"ready","slots":20,"gate":{"running":3,)"
      R"("queued":1,"limit":18}}},)"
      R"({"id":"nadi-1","zone":"nadi","revision":3,"staged":4,"lease":false}]})");
  const CommandResult result = Run("status");
  EXPECT_EQ(result.code, ExitCode::kOk);
  EXPECT_THAT(result.out, HasSubstr("active revision 4, leader k1\n"));
  EXPECT_THAT(result.out,
              testing::ContainsRegex(
                  "suva-1 +suva +ledger +4 +2023-11-14T22:13:20Z +- +"
                  "held +ready +3 +1 +18 +20"));
  EXPECT_THAT(result.out, HasSubstr("1 nodes cannot be reached\n"));
  EXPECT_THAT(
      result.out,
      testing::ContainsRegex("nadi-1 +nadi +- +3 .behind. +- +4 +UNREACHABLE"));
}

TEST_F(CommandsTest, StatusOfANodePrintsItsOwnStatus) {
  daemon_.On("GET", "/status", R"({"id":"suva-1","revision":4})");
  const CommandResult result = Run("status");
  EXPECT_EQ(result.code, ExitCode::kOk);
  EXPECT_THAT(result.out, HasSubstr("suva-1"));
}

TEST_F(CommandsTest, AnswersThatAreNoJsonAreRefused) {
  daemon_.On("GET", "/history", "<html>");
  EXPECT_EQ(Run("history").code, ExitCode::kRefused);
  daemon_.On("GET", "/keepers", R"({"self":[1],"members":[1,{"id":[2]}]})");
  EXPECT_EQ(Run("keepers").code, ExitCode::kOk);
}

TEST_F(CommandsTest, KeepersShowRolesTermsAndLogPositions) {
  daemon_.On("GET", "/keepers",
             R"({"self":"k1","leader":"k1","term":7,"commit":41,"applied":40,)"
             R"("members":[{"id":"k2","control":"127.0.0.1:2","voter":true,)"
             R"("match":39,"alive":false,"replica":"ab"}]})");
  const CommandResult result = Run("keepers");
  EXPECT_THAT(result.out,
              testing::ContainsRegex("k1 +leader +k1 +7 +41 +40\n"));
  EXPECT_THAT(result.out,
              testing::ContainsRegex("k2 +127.0.0.1:2 +yes +39 +no +ab\n"));
}

TEST_F(CommandsTest, DrainFindsTheNodeByItsName) {
  ServeMembers();
  daemon_.On("GET", "/healthz", "{}");
  daemon_.On("POST", "/drain", "{}");
  EXPECT_EQ(Run("drain", {"suva-1"}).code, ExitCode::kOk);
  EXPECT_EQ(daemon_.requests.back().path, "/drain");
  EXPECT_EQ(Run("drain", {"suva-9"}).code, ExitCode::kRefused);
}

TEST_F(CommandsTest, QuarantineIsReadAndLiftedOnAllNodes) {
  ServeMembers();
  daemon_.On("GET", "/quarantine",
             R"({"quarantined":[{"fingerprint":"abc","service":"ledger"}]})");
  daemon_.On("POST", "/quarantine/lift", "{}");
  EXPECT_THAT(Run("quarantine").out, HasSubstr("abc"));
  const CommandResult lifted = Run("quarantine", {"lift", "abc"});
  EXPECT_EQ(lifted.out, "lifted at 1 of 1 nodes\n");
  EXPECT_EQ(daemon_.requests.back().query.at("fingerprint"), "abc");
  EXPECT_EQ(Run("quarantine", {"lift", "a&b"}).code, ExitCode::kUsage);
}

// Guards against a page nested so deeply that showing it ends the tool.
TEST_F(CommandsTest, ADeeplyNestedPageIsNotShown) {
  constexpr size_t kDepth = 1'000'000;
  ServeMembers();
  daemon_.On("GET", "/quarantine",
             R"({"quarantined":[{"fingerprint":)" + std::string(kDepth, '[') +
                 std::string(kDepth, ']') + "}]}");
  const CommandResult shown = Run("quarantine");
  EXPECT_EQ(shown.code, ExitCode::kOk) << shown.err;
}

TEST_F(CommandsTest, DiffComparesRevisionsWithTheActiveOne) {
  daemon_.On("GET", "/fleet", R"({"active":2})");
  daemon_.On("GET", "/show", [](const net::AdminRequest& request) {
    return net::AdminResponse{
        200, "text/yaml", "revision " + request.query.at("revision") + "\n"};
  });
  EXPECT_EQ(Run("diff", {"1"}).out, "-1: revision 2\n+1: revision 1\n");
  EXPECT_EQ(Run("diff", {"2", "active"}).out, "no difference\n");
  EXPECT_EQ(Run("show").out, "revision 2\n");
}

TEST_F(CommandsTest, ValidateTellsTheTwoFormatsApart) {
  const std::string folder = std::string(IBIS_SOURCE_DIR) + "/examples/";
  EXPECT_EQ(Run("validate", {folder + "tavua.yaml", folder + "consorcio.yaml",
                             folder + "settings-node.yaml",
                             folder + "settings-keeper.yaml"})
                .out,
            "valid\n");
  EXPECT_THAT(CheckFile("id: a\nrole: keeper\n", "f"), SizeIs(5));
  output_ = OutputFormat::kJson;
  const CommandResult result = Run("validate", {"/no/such/file"});
  EXPECT_EQ(result.code, ExitCode::kUsage);
}

TEST(LineDiffTest, ShowsRemovedAndAddedLines) {
  EXPECT_EQ(DiffLines("a\nb\nc\n", "a\nb\nc\n"), "");
  EXPECT_EQ(DiffLines("a\nb\nc\nd\n", "a\nx\nc\ny\nd\n"),
            "-2: b\n+2: x\n+4: y\n");
  EXPECT_EQ(DiffLines("", "a\n"), "+1: a\n");
}

}  // namespace
}  // namespace ibisvalve::ctl
