#include "dataplane/candidate_table.h"

#include <gtest/gtest.h>

namespace ibisvalve::dataplane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class CandidateTableTest : public testing::Test {
 protected:
  CandidateTableTest() {
    settings_.choice = policy::ChoiceKind::kExpectedValue;
    service_.name = ServiceName("ledger");
    for (const char* id : {"a", "b"}) {
      world::Member member;
      member.id = NodeId(id);
      member.service = service_.name;
      member.target = world::TargetState::kReady;
      member.slots = 4;
      view_.SetMember(member);
    }
  }

  // Returns how many of 50 calls to Choose select `gate`.
  int CountChosen(const std::string& gate, Time now) {
    int count = 0;
    for (int i = 0; i < 50; ++i) {
      const auto choice =
          table_.Choose(service_, policy_,
                        {milliseconds(500), seconds(1), milliseconds(100), 1},
                        std::nullopt, {}, now);
      count += choice && choice->gate.value == gate ? 1 : 0;
    }
    return count;
  }

  PlaneSettings settings_;
  world::Service service_;
  FleetView view_;
  CandidateTable table_{settings_, view_};
  ServicePolicy policy_{
      policy::AnyChooser(policy::ChoiceKind::kExpectedValue, {}),
      policy::Ejection(), policy::RetryBudget(), policy::Hedge()};
  Time now_{seconds(100)};
};

// Guards against requests being sent to a host during a network partition of
// several seconds: each would wait until the silence of its link is detected.
TEST_F(CandidateTableTest, AnUnreachableGateIsAvoidedLongerEachTime) {
  EXPECT_GT(CountChosen("a", now_), 0);
  table_.OnUnreachable(NodeId("a"), now_);
  EXPECT_EQ(CountChosen("a", now_ + milliseconds(900)), 0);
  now_ += milliseconds(1100);
  EXPECT_GT(CountChosen("a", now_), 0);
  table_.OnUnreachable(NodeId("a"), now_);
  EXPECT_EQ(CountChosen("a", now_ + milliseconds(1900)), 0);
}

TEST_F(CandidateTableTest, AHintEndsTheBackOffAtOnce) {
  table_.OnUnreachable(NodeId("a"), now_);
  table_.OnHint(NodeId("a"), wire::LoadHint{}, now_);
  EXPECT_GT(CountChosen("a", now_), 0);
}

// Guards against the caller waiting for a silent link when no other target is
// left: the ingress must refuse the request at once.
TEST_F(CandidateTableTest, TheLastGateIsNotWorthTryingWhileUnreachable) {
  table_.OnUnreachable(NodeId("a"), now_);
  const auto choice = table_.Choose(
      service_, policy_, {milliseconds(500), seconds(1), milliseconds(100), 1},
      std::nullopt, {NodeId("b")}, now_);
  ASSERT_TRUE(choice);
  EXPECT_EQ(choice->gate, NodeId("a"));
  EXPECT_FALSE(choice->worth_trying);
}

}  // namespace
}  // namespace ibisvalve::dataplane
