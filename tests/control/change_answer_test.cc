#include <optional>

#include "control/keeper_fixture.h"

namespace ibisvalve::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A node without logic: reports the revision that it is told to report.
class ScriptedNode {
 public:
  ScriptedNode(net::EventLoop& loop,
               const world::Endpoint& keeper,
               const std::string& name)
      : timer_(loop, [this] { Report(); }) {
    follow_.node = NodeId(name);
    follow_.incarnation = NewIncarnation();
    link_ = net::FrameLink::Connect(
        loop, keeper,
        {[this] { link_->Send(follow_); }, [](wire::FrameType, auto) {},
         [](const std::string&) {}, nullptr});
    timer_.StartPeriodic(milliseconds(200));
  }
  void SetActive(uint64_t revision) {
    report_.active = report_.staged = Revision(revision);
    Report();
  }
  void FallSilent() { timer_.Stop(); }

 private:
  void Report() {
    ++report_.number;
    link_->Send(wire::NodeHeartbeat{report_, "{}"});
  }

  wire::FollowKeeper follow_;
  wire::NodeReport report_;
  std::unique_ptr<net::FrameLink> link_;
  net::Timer timer_;
};

// One keeper with files that are active as soon as they are stored, and two
// nodes that report revision 1.
class ChangeAnswerTest : public KeeperFixture {
 protected:
  void SetUp() override {
    activates_immediately_ = true;
    Reserve(1);
    StartKeeper(0);
    ASSERT_EQ(AskJson(0, "POST", "/apply?change=c1&base=0", "1")["result"],
              "active");
    for (const char* name : {"node-1", "node-2"}) {
      nodes_.push_back(
          std::make_unique<ScriptedNode>(loop_, endpoints_[0], name));
    }
    RunFor(milliseconds(100));
    for (const auto& node : nodes_) {
      node->SetActive(1);
    }
    RunFor(milliseconds(100));
  }
  // Sends revision 2. Its answer, once there is one, is in answer_.
  void Change() {
    sent_at_ = loop_.Now();
    net::FetchHttp(loop_, keepers_[0].admin->local(), "POST",
                   "/apply?change=c2&base=1", "2", seconds(10),
                   [this](const net::HttpResult& got) {
                     answer_ = got;
                     answered_after_ = loop_.Now() - sent_at_;
                   });
  }
  bool IsAnsweredWithin(Duration limit) {
    return RunUntil([this] { return answer_.has_value(); }, limit);
  }

  std::vector<std::unique_ptr<ScriptedNode>> nodes_;
  std::optional<net::HttpResult> answer_;
  Time sent_at_{};
  Duration answered_after_{0};
};

// Guards against a change that is acknowledged while nodes that could have it
// still serve the older file.
TEST_F(ChangeAnswerTest, AChangeIsAnsweredOnceEveryReportingNodeHasIt) {
  Change();
  nodes_[0]->SetActive(2);
  EXPECT_FALSE(IsAnsweredWithin(milliseconds(500)));
  nodes_[1]->SetActive(2);
  EXPECT_TRUE(IsAnsweredWithin(milliseconds(200)));
  EXPECT_EQ(answer_->status, 200);
}

// Guards against nodes that are cut off and hold up the changes of all others.
TEST_F(ChangeAnswerTest, ASilentNodeDoesNotHoldUpAChange) {
  nodes_[1]->FallSilent();
  RunFor(milliseconds(1300));
  Change();
  RunFor(milliseconds(50));
  nodes_[0]->SetActive(2);
  EXPECT_TRUE(IsAnsweredWithin(milliseconds(200)));
}

// Guards against one node without progress that holds up all changes.
TEST_F(ChangeAnswerTest, ANodeWithoutProgressHoldsUpAChangeForTwoSeconds) {
  Change();
  nodes_[0]->SetActive(2);
  EXPECT_TRUE(IsAnsweredWithin(seconds(3)));
  EXPECT_GE(answered_after_, milliseconds(1900));
  EXPECT_LE(answered_after_, milliseconds(2300));
}

// Guards against a new leader that acknowledges a change before it knows which
// nodes there are.
TEST_F(ChangeAnswerTest, ANewLeaderWaitsForTheReportsOfTheNodes) {
  nodes_.clear();
  StopKeeper(0);
  StartKeeper(0);
  RunUntil([this] { return Ask(0, "GET", "/show").status == 200; });
  const auto late = std::make_unique<ScriptedNode>(loop_, endpoints_[0], "a");
  Change();
  RunFor(milliseconds(300));
  late->SetActive(1);
  EXPECT_FALSE(IsAnsweredWithin(milliseconds(1200)));
  late->SetActive(2);
  EXPECT_TRUE(IsAnsweredWithin(milliseconds(200)));
}

}  // namespace
}  // namespace ibisvalve::control
