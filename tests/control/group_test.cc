#include <gmock/gmock.h>

#include <optional>

#include "control/keeper_fixture.h"

namespace ibisvalve::control {
namespace {

// Runs groups of several keepers over real sockets.
class GroupTest : public KeeperFixture {
 protected:
  void StartAll(size_t count) {
    Reserve(count);
    for (size_t number = 0; number < count; ++number) {
      StartKeeper(number);
    }
    ASSERT_TRUE(RunUntil([&] { return LeaderOf(0) >= 0; }));
  }

  // Applies a file through keeper `number` and returns the final answer.
  nlohmann::json Apply(size_t number, const std::string& change, int base) {
    const std::string path = "/apply?change=" + change;
    nlohmann::json answer;
    RunUntil([&] {
      answer = AskJson(number, "POST", path + "&base=" + std::to_string(base),
                       "file " + change);
      return answer["result"] != "unavailable";
    });
    RunUntil([&] {
      answer = AskJson(number, "GET", path);
      return answer["result"] != "staged" && answer["result"] != "unavailable";
    });
    return answer;
  }

  size_t FollowerOf(int leader) const { return leader == 0 ? 1 : 0; }

  size_t Voters(size_t asked) {
    size_t count = 0;
    const nlohmann::json keepers = AskJson(asked, "GET", "/keepers");
    for (const auto& member : keepers["members"]) {
      count += member.value("voter", false) ? 1 : 0;
    }
    return count;
  }
};

TEST_F(GroupTest, AFollowerForwardsChangesAndOneClaimIsGranted) {
  StartAll(3);
  std::vector<std::unique_ptr<Node>> nodes;
  for (const char* name : {"a", "b", "c", "d", "e"}) {
    nodes.push_back(StartNode(name));
  }
  EXPECT_TRUE(RunUntil([&] { return NodesWithLease(0) == 5; }));
  const size_t follower = FollowerOf(LeaderOf(0));
  EXPECT_EQ(Apply(follower, "c1", 0)["result"], "active");
  EXPECT_TRUE(RunUntil([&] {
    return std::all_of(nodes.begin(), nodes.end(),
                       [](const auto& node) { return node->lease; });
  }));
  wire::ClaimRequest request;
  request.key = {ServiceName("s"), "k"};
  request.holder.attempt = {Incarnation(1), 1};
  request.retention_us = 60'000'000;
  size_t granted = 0, answered = 0;
  for (const auto& node : nodes) {
    ++request.holder.attempt.counter;
    node->agent->Claim(
        request, std::chrono::seconds(5), [&](const wire::ClaimReply& reply) {
          ++answered;
          granted += reply.verdict == wire::ClaimVerdict::kGranted;
        });
  }
  EXPECT_TRUE(RunUntil([&] { return answered == nodes.size(); }));
  EXPECT_EQ(granted, 1U);
}

TEST_F(GroupTest, ToleratesTheLossOfEachKeeperInTurn) {
  StartAll(3);
  const auto node = StartNode("a");
  for (int round = 0; round < 3; ++round) {
    const int leader = LeaderOf(0);
    ASSERT_GE(leader, 0);
    const std::string change = "c" + std::to_string(round);
    const auto stopped = static_cast<size_t>(leader);
    const size_t other = FollowerOf(leader);
    StopKeeper(stopped);
    const nlohmann::json answer = Apply(other, change, round);
    EXPECT_EQ(answer["result"], "active") << answer;
    StartKeeper(stopped);
    // Sends the same change again, to the keeper that was stopped.
    nlohmann::json again;
    RunUntil([&] {
      again =
          AskJson(stopped, "POST",
                  "/apply?change=" + change + "&base=" + std::to_string(round),
                  "file " + change);
      return again["result"] != "unavailable";
    });
    EXPECT_EQ(again["result"], "active");
    EXPECT_EQ(again["revision"], answer["revision"]);
  }
  EXPECT_TRUE(RunUntil([&] { return node->agent->active().value == 3; }));
  EXPECT_TRUE(std::is_sorted(node->activated.begin(), node->activated.end()));
}

TEST_F(GroupTest, AKeeperWithoutAMajorityIsUnavailable) {
  StartAll(3);
  EXPECT_EQ(Apply(0, "c1", 0)["result"], "active");
  const int leader = LeaderOf(0);
  for (size_t number = 0; number < 3; ++number) {
    if (static_cast<int>(number) != leader) {
      StopKeeper(number);
    }
  }
  const auto isolated = static_cast<size_t>(leader);
  const net::HttpResult shown = Ask(isolated, "GET", "/show");
  EXPECT_EQ(shown.status, 503);
  EXPECT_EQ(AskJson(isolated, "POST", "/apply?change=c2&base=1", "x")["result"],
            "unavailable");
  EXPECT_EQ(AskJson(isolated, "GET", "/keepers")["leader"], "");
  const auto node = StartNode("a");
  RunFor(std::chrono::seconds(2));
  EXPECT_FALSE(node->lease);
}

TEST_F(GroupTest, AKeeperThatLostItsDiskRejoinsAsANewVoter) {
  StartAll(3);
  EXPECT_EQ(Apply(0, "c1", 0)["result"], "active");
  const std::string former = AskJson(2, "GET", "/keepers")["replica"];
  StopKeeper(2);
  LoseDisk(2);
  StartKeeper(2);
  const std::string present = AskJson(2, "GET", "/keepers")["replica"];
  EXPECT_NE(present, former);
  const auto has = [&](const std::string& replica, bool voter) {
    const nlohmann::json keepers = AskJson(0, "GET", "/keepers");
    return std::any_of(keepers["members"].begin(), keepers["members"].end(),
                       [&](const auto& member) {
                         return member["replica"] == replica &&
                                member["voter"] == voter;
                       });
  };
  EXPECT_TRUE(RunUntil([&] { return has(present, true); }));
  EXPECT_FALSE(has(former, true));
  // Directly after the repair, a second keeper fails permanently.
  StopKeeper(1);
  EXPECT_EQ(Apply(0, "c2", 1)["result"], "active");
  EXPECT_EQ(Ask(2, "GET", "/show?revision=1").body, "file c1");
}

TEST_F(GroupTest, AddsAndRemovesMembersOneAtATime) {
  Reserve(3);
  const std::vector<world::Endpoint> all = endpoints_;
  endpoints_ = {all[0]};
  StartKeeper(0);
  ASSERT_TRUE(RunUntil([&] { return LeaderOf(0) == 0; }));
  EXPECT_EQ(Apply(0, "c1", 0)["result"], "active");
  endpoints_ = all;
  for (const size_t number : {1U, 2U}) {
    StartKeeper(number);
    const net::HttpResult added =
        Ask(0, "POST",
            "/keepers/add?id=keeper-" + std::to_string(number + 1) +
                "&control=" + world::ToString(all[number]));
    EXPECT_EQ(added.status, 200) << added.body;
    EXPECT_TRUE(RunUntil([&] { return Voters(0) == number + 1; }));
  }
  EXPECT_EQ(Ask(0, "POST", "/keepers/remove?id=keeper-1").status, 200);
  EXPECT_TRUE(RunUntil(
      [&] { return Voters(1) == 2 && LeaderOf(1) > 0 && LeaderOf(2) > 0; }));
  StopKeeper(0);
  EXPECT_EQ(Apply(1, "c2", 1)["result"], "active");
  EXPECT_EQ(Ask(2, "GET", "/show?revision=1").body, "file c1");
}

}  // namespace
}  // namespace ibisvalve::control
