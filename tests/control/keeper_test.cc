#include "control/keeper.h"

#include <gmock/gmock.h>

#include <optional>

#include "control/file_codec.h"
#include "control/keeper_fixture.h"

namespace ibisvalve::control {
namespace {

using testing::ElementsAre;

wire::ClaimRequest ClaimOf(const std::string& key, uint64_t attempt) {
  wire::ClaimRequest request;
  request.call = attempt;
  request.key = {ServiceName("bookdesk"), key};
  request.body = Digest(7);
  request.holder.attempt = {Incarnation(1), attempt};
  request.retention_us = 60'000'000;
  return request;
}

class OneKeeperTest : public KeeperFixture {
 protected:
  void SetUp() override {
    Reserve(1);
    StartKeeper(0);
  }

  wire::ClaimReply Claim(Node& node, const wire::ClaimRequest& request) {
    std::optional<wire::ClaimReply> reply;
    node.agent->Claim(request, std::chrono::seconds(5),
                      [&](const wire::ClaimReply& got) { reply = got; });
    EXPECT_TRUE(RunUntil([&] { return reply.has_value(); }));
    return reply.value_or(wire::ClaimReply());
  }
};

// Guards against keepers that run out of memory by some hundred changes to a
// large file: each entry of the log holds the whole file.
TEST_F(OneKeeperTest, LargeFilesDoNotPileUpInMemory) {
  constexpr int kChanges = 100;
  constexpr size_t kFileBytes = 700 << 10;
  constexpr double kMaxLogMemoryBytes = 32 << 20;
  activates_immediately_ = true;
  double most = 0;
  for (int i = 0; i < kChanges; ++i) {
    std::string text = "file " + std::to_string(i) + " ";
    text.append(kFileBytes, 'x');
    ASSERT_EQ(AskJson(0, "POST",
                      "/apply?change=" + std::to_string(i) +
                          "&base=" + std::to_string(i),
                      text)["result"],
              "active");
    std::vector<MetricSample> samples;
    keepers_[0].keeper->Collect(samples);
    for (const MetricSample& sample : samples) {
      if (sample.name == "ibis_keeper_log_memory_bytes") {
        most = std::max(most, sample.value);
      }
    }
  }
  EXPECT_GT(most, 0);
  EXPECT_LT(most, kMaxLogMemoryBytes);
}

// A keeper that is partitioned from the others accepts connections but grants
// no lease. The list of keepers changes meanwhile, as it does when gossip
// suspects members; the change must not make the node return to the same
// keeper.
TEST_F(OneKeeperTest, NodeSwitchesFromAKeeperThatGrantsNoLease) {
  net::Listener silent(loop_, {"127.0.0.1", 0}, [](int) {});
  const world::Endpoint good = endpoints_.front();
  EXPECT_EQ(AskJson(0, "POST", "/apply?change=one&base=0", "good")["result"],
            "staged");
  endpoints_ = {silent.local()};
  const auto node = StartNode("node-1");
  const std::vector<std::vector<world::Endpoint>> lists = {
      {silent.local(), good}, {silent.local(), good, {"127.0.0.1", 1}}};
  size_t changes = 0;
  net::Timer change(
      loop_, [&] { node->agent->SetKeepers(lists[++changes % lists.size()]); });
  change.StartPeriodic(std::chrono::milliseconds(50));
  EXPECT_TRUE(RunUntil([&] { return !node->activated.empty(); },
                       std::chrono::seconds(4)));
}

TEST_F(OneKeeperTest, NodeActivatesAnOfferedFileOnlyIfItIsNewer) {
  endpoints_ = {{"127.0.0.1", 1}};  // no listener
  const auto node = StartNode("node-1");
  const auto offer = [&](uint64_t revision, const std::string& text,
                         Digest digest) {
    node->agent->OfferActiveFile(
        {Revision(revision), digest, EncodeText(text, "")});
  };
  offer(5, "five", DigestOf("five"));
  offer(4, "four", DigestOf("four"));
  offer(6, "six", DigestOf("else"));
  offer(7, "seven", DigestOf("seven"));
  node->agent->OfferActiveFile({Revision(8), DigestOf("eight"), "eight"});
  EXPECT_THAT(node->activated, ElementsAre(5, 7));
  EXPECT_EQ(node->agent->active_file()->text, "seven");
}

// Guards against a node that stays at an old file because a keeper takes it for
// one that has a newer one.
TEST_F(OneKeeperTest, NodeThatLacksTheBaseOfAFileReconnects) {
  std::vector<std::unique_ptr<net::FrameLink>> links;
  size_t follows = 0;
  net::Listener keeper(loop_, {"127.0.0.1", 0}, [&](int fd) {
    links.push_back(net::FrameLink::Accept(
        loop_, fd,
        {nullptr,
         [&, number = links.size()](wire::FrameType type, std::string_view) {
           if (type != wire::FollowKeeper::kType) {
             return;
           }
           wire::ConfigUpdate update;
           update.revision = Revision(2);
           update.digest = DigestOf("file 2");
           update.active = true;
           update.base = Revision(++follows == 1 ? 1 : 0);
           update.encoded_text =
               EncodeText("file 2", follows == 1 ? "file 1" : "");
           links[number]->Send(update);
         },
         [](const std::string&) {}, nullptr}));
  });
  endpoints_ = {keeper.local()};
  const auto node = StartNode("node-1");
  EXPECT_TRUE(RunUntil([&] { return !node->activated.empty(); },
                       std::chrono::seconds(2)));
  EXPECT_EQ(follows, 2U);
}

TEST_F(OneKeeperTest, ActivatesAFileAtEveryNode) {
  const auto first = StartNode("a");
  const auto second = StartNode("b");
  EXPECT_TRUE(RunUntil([&] { return NodesWithLease(0) == 2; }));
  const auto answer = AskJson(0, "POST", "/apply?change=c1&base=0", "file 1");
  EXPECT_EQ(answer["result"], "staged");
  EXPECT_EQ(answer["revision"], 1);
  EXPECT_TRUE(RunUntil([&] { return first->lease && second->lease; }));
  EXPECT_THAT(first->activated, ElementsAre(1));
  EXPECT_THAT(second->activated, ElementsAre(1));
  const auto again = AskJson(0, "GET", "/apply?change=c1");
  EXPECT_EQ(again["result"], "active");
  EXPECT_EQ(again["active"], 1);
  EXPECT_EQ(Ask(0, "GET", "/show").body, "file 1");
  const auto fleet = AskJson(0, "GET", "/fleet");
  EXPECT_EQ(fleet["nodes"].size(), 2U);
  EXPECT_EQ(fleet["nodes"][0]["lease"], true);
  EXPECT_EQ(AskJson(0, "GET", "/keepers")["members"][0]["voter"], true);
}

TEST_F(OneKeeperTest, WithdrawsAFileThatANodeRefuses) {
  const auto good = StartNode("good");
  const auto bad = StartNode("bad");
  bad->refusal = "no room";
  EXPECT_TRUE(RunUntil([&] { return NodesWithLease(0) == 2; }));
  AskJson(0, "POST", "/apply?change=c1&base=0", "file 1");
  nlohmann::json answer;
  EXPECT_TRUE(RunUntil([&] {
    answer = AskJson(0, "GET", "/apply?change=c1");
    return answer["result"] != "staged";
  }));
  EXPECT_EQ(answer["result"], "withdrawn");
  EXPECT_EQ(answer["hosts"], nlohmann::json({"bad"}));
  EXPECT_EQ(answer["detail"], "no room");
  EXPECT_TRUE(good->activated.empty());
}

TEST_F(OneKeeperTest, SecondChangeOnTheSameBaseIsAConflict) {
  AskJson(0, "POST", "/apply?change=c1&base=0", "file 1");
  const auto loser = AskJson(0, "POST", "/apply?change=c2&base=0", "file 2");
  EXPECT_EQ(loser["result"], "conflict");
  EXPECT_EQ(loser["digest"], ToHex(DigestOf("file 1")));
  EXPECT_EQ(AskJson(0, "POST", "/apply?change=c3&base=0", "bad")["result"],
            "invalid");
  EXPECT_EQ(AskJson(0, "POST", "/apply?change=c4&base=1", "file 4")["result"],
            "staged");
  EXPECT_TRUE(RunUntil([&] {
    return AskJson(0, "GET", "/apply?change=c4")["result"] == "active";
  }));
  EXPECT_EQ(AskJson(0, "POST", "/apply?change=c5&base=0", "file 5")["result"],
            "stale");
  EXPECT_EQ(AskJson(0, "POST", "/apply?change=c2&base=0", "file 2")["result"],
            "conflict");
}

TEST_F(OneKeeperTest, RestartRestoresActiveRevisionAndClaims) {
  const auto node = StartNode("a");
  AskJson(0, "POST", "/apply?change=c1&base=0", "file 1");
  EXPECT_TRUE(RunUntil([&] { return node->lease; }));
  EXPECT_EQ(Claim(*node, ClaimOf("k", 1)).verdict,
            wire::ClaimVerdict::kGranted);
  StopKeeper(0);
  StartKeeper(0);
  EXPECT_EQ(Ask(0, "GET", "/show").body, "file 1");
  EXPECT_EQ(AskJson(0, "POST", "/apply?change=c1&base=0", "file 1")["result"],
            "active");
  EXPECT_EQ(Claim(*node, ClaimOf("k", 2)).verdict, wire::ClaimVerdict::kTaken);
  EXPECT_EQ(Claim(*node, ClaimOf("k", 1)).verdict,
            wire::ClaimVerdict::kGranted);
}

// A restarted keeper applies its whole log again. A node that starts at the
// same time must not activate every earlier file on the way.
TEST_F(OneKeeperTest, RestartedKeeperSendsOnlyTheActiveFile) {
  for (int base = 0; base < 5; ++base) {
    std::string page = "/apply?change=c";
    page += std::to_string(base);
    page += "&base=";
    page += std::to_string(base);
    Ask(0, "POST", page, "file " + std::to_string(base));
    ASSERT_TRUE(RunUntil([&] {
      const nlohmann::json fleet = AskJson(0, "GET", "/fleet");
      return fleet.value("active", 0) == base + 1;
    }));
  }
  StopKeeper(0);
  const auto node = StartNode("node-1");
  RunFor(std::chrono::milliseconds(50));
  StartKeeper(0);
  ASSERT_TRUE(RunUntil([&] { return !node->activated.empty(); }));
  RunFor(std::chrono::milliseconds(300));
  EXPECT_THAT(node->activated, ElementsAre(5));
}

TEST_F(OneKeeperTest, ReleasedClaimIsGrantedAgainAndRecordedClaimIsNot) {
  const auto node = StartNode("a");
  EXPECT_EQ(Claim(*node, ClaimOf("k", 1)).verdict,
            wire::ClaimVerdict::kGranted);
  node->agent->Settle({ClaimOf("k", 1).key, ClaimOf("k", 1).holder, 0});
  RunFor(std::chrono::milliseconds(200));
  EXPECT_EQ(Claim(*node, ClaimOf("k", 2)).verdict,
            wire::ClaimVerdict::kGranted);
  node->agent->Settle({ClaimOf("k", 2).key, ClaimOf("k", 2).holder, 201});
  RunFor(std::chrono::milliseconds(200));
  const wire::ClaimReply taken = Claim(*node, ClaimOf("k", 3));
  EXPECT_EQ(taken.verdict, wire::ClaimVerdict::kTaken);
  EXPECT_EQ(taken.status, 201);
  EXPECT_EQ(taken.holder, ClaimOf("k", 2).holder);
  wire::ClaimRequest other = ClaimOf("k", 4);
  other.body = Digest(8);
  EXPECT_EQ(Claim(*node, other).verdict, wire::ClaimVerdict::kMismatch);
}

TEST_F(OneKeeperTest, NodeLosesItsLeaseWithoutKeepers) {
  const auto node = StartNode("a");
  AskJson(0, "POST", "/apply?change=c1&base=0", "file 1");
  EXPECT_TRUE(RunUntil([&] { return node->lease; }));
  StopKeeper(0);
  const Time stopped = loop_.Now();
  EXPECT_TRUE(RunUntil([&] { return !node->lease; }));
  EXPECT_LE(loop_.Now() - stopped, std::chrono::milliseconds(2500));
  EXPECT_FALSE(node->agent->lease_held());
  StartKeeper(0);
  EXPECT_TRUE(RunUntil([&] { return node->lease; }));
}

TEST_F(OneKeeperTest, LeavingNodeIsRemovedFromTheFleet) {
  auto node = StartNode("a");
  EXPECT_TRUE(RunUntil([&] { return NodesWithLease(0) == 1; }));
  bool left = false;
  node->agent->Leave([&] { left = true; });
  EXPECT_TRUE(RunUntil([&] { return left; }));
  RunFor(std::chrono::milliseconds(100));
  EXPECT_EQ(AskJson(0, "GET", "/fleet")["nodes"].size(), 0U);
}

}  // namespace
}  // namespace ibisvalve::control
