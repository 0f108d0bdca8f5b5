#include "node/node.h"

#include <gtest/gtest.h>
#include <stdlib.h>

#include <filesystem>
#include <map>
#include <memory>
#include <optional>

#include "support/test_fleet.h"

namespace ibisvalve::node {
namespace {

// Guards against a node that spends its share of the processor on parsing the
// same file again: a change is in force the later, the larger the file is.
TEST(NodeProcessTest, ParsesEachFileOnce) {
  net::EventLoop loop;
  std::string data = testing::TempDir() + "ibis-node-XXXXXX";
  ASSERT_NE(mkdtemp(data.data()), nullptr);
  control::KeeperSettings group;
  group.id = NodeId("keeper-1");
  group.control = test::FreeEndpoint();
  group.data = data;
  group.keepers = {group.control};
  control::Keeper keeper(loop, group, [](const std::string&) {
    return control::CheckedFile{"", std::chrono::seconds(2), true, {}, {}};
  });

  config::Settings settings;
  settings.id = NodeId("suva-1");
  settings.callers = settings.mesh = settings.gossip = settings.admin =
      world::Endpoint{"127.0.0.1", 0};
  settings.keepers = {group.control};
  std::vector<std::string> parsed;
  NodeOptions options;
  options.parse = [&](const std::string& text, const std::string&) {
    parsed.push_back(text);
    return world::Fleet();
  };
  NodeProcess node(loop, settings, options);

  int answers = 0;
  for (const char* number : {"1", "2"}) {
    const std::string base = std::to_string(answers);
    keeper.HandleRequest(
        {"POST", "/apply", {{"change", number}, {"base", base}}, number},
        [&](const net::AdminResponse& answer) {
          EXPECT_EQ(answer.status, 200) << answer.body;
          ++answers;
          loop.Stop();
        });
    loop.Run();
    const size_t expected = static_cast<size_t>(answers);
    net::Timer check(loop, [&] {
      if (parsed.size() >= expected && node.ready()) {
        loop.Stop();
      }
    });
    check.StartPeriodic(std::chrono::milliseconds(5));
    loop.Run();
  }
  EXPECT_EQ(parsed, (std::vector<std::string>{"1", "2"}));
  std::filesystem::remove_all(data);
}

// A node with a target that announces itself, beside a keeper of the gossip.
class DepartureTest : public testing::Test {
 protected:
  DepartureTest() {
    settings_.id = NodeId("suva-1");
    settings_.callers = settings_.mesh = settings_.admin =
        world::Endpoint{"127.0.0.1", 0};
    settings_.gossip = test::FreeEndpoint();
    settings_.keepers = {test::FreeEndpoint()};
    settings_.target.emplace();
    settings_.target->service = ServiceName("bookdesk");
    settings_.target->endpoint = test::FreeEndpoint();
    settings_.target->slots = 4;
    settings_.target->announces = true;
  }

  ~DepartureTest() override { std::filesystem::remove_all(data_); }

  const world::Endpoint& node_gossip() const { return settings_.gossip; }

  void StartKeeper(const std::vector<world::Endpoint>& seeds = {}) {
    StartGroup();
    StartGossip(seeds);
  }

  // Starts the keeper's replica, which is a group of its own.
  void StartGroup() {
    control::KeeperSettings group;
    group.id = NodeId("keeper-1");
    group.control = settings_.keepers.front();
    group.data = data_;
    group.keepers = {group.control};
    group_ = std::make_unique<
        control::Keeper>(loop_, group, [](const std::string&) {
      return control::CheckedFile{"", std::chrono::seconds(2), true, {}, {}};
    });
  }

  void StartGossip(const std::vector<world::Endpoint>& seeds = {}) {
    membership::MembershipSettings gossip;
    gossip.seeds = seeds;
    world::Member self;
    self.id = NodeId("keeper-1");
    self.incarnation = NewIncarnation();
    self.gossip = {"127.0.0.1", 0};
    self.control = settings_.keepers.front();
    keeper_ = std::make_unique<membership::MembershipService>(
        loop_, gossip, self, [](const world::Member&) {});
    settings_.seeds = {keeper_->self().gossip};
  }

  // Ends all processes and starts them again but for the keeper's replica. The
  // member that answers first knows of nothing then.
  void RestartWithoutGroup() {
    node_.reset();
    keeper_.reset();
    group_.reset();
    StartGossip();
    StartNode();
  }

  void StartNode() { node_ = std::make_unique<NodeProcess>(loop_, settings_); }

  static dataplane::TargetAnnouncement Announcement(
      bool stopping,
      const std::string& identity = "i-1",
      uint64_t started_ms = 1000) {
    dataplane::TargetAnnouncement announcement;
    announcement.identity = identity;
    announcement.started_ms = started_ms;
    announcement.number = stopping ? 0 : 1;
    announcement.stopping = stopping;
    return announcement;
  }

  // Announces and returns whether it was acknowledged.
  bool Announce(bool stopping) { return Announce(Announcement(stopping)); }
  bool Announce(const dataplane::TargetAnnouncement& announcement) {
    std::optional<bool> recorded;
    node_->Announce(announcement, [&](bool result) { recorded = result; });
    RunUntil([&] { return recorded.has_value(); });
    return recorded.value_or(false);
  }

  void RunUntil(const std::function<bool()>& condition,
                Duration limit = std::chrono::seconds(5)) {
    const Time end = loop_.Now() + limit;
    net::Timer check(loop_, [&] {
      if (condition() || loop_.Now() >= end) {
        loop_.Stop();
      }
    });
    check.StartPeriodic(std::chrono::milliseconds(2));
    loop_.Run();
  }

  // Returns whether the target is seen ready within `limit`.
  bool GetsReady(Duration limit) {
    RunUntil([&] { return SeenState() == world::TargetState::kReady; }, limit);
    return SeenState() == world::TargetState::kReady;
  }

  // Returns whether the target is seen ready and its gate uses it within
  // `limit`.
  bool GetsUsed(Duration limit) {
    const Time end = loop_.Now() + limit;
    bool used = false;
    while (!used && loop_.Now() < end) {
      RunUntil([] { return false; }, std::chrono::milliseconds(20));
      used = SeenState() == world::TargetState::kReady && !Held();
    }
    return used;
  }

  // Returns whether the gate of the node holds its target back.
  bool Held() {
    const auto found = keeper_->members().find(settings_.id);
    std::string metrics;
    bool answered = false;
    net::FetchHttp(loop_, found->second.admin, "GET", "/metrics", "",
                   std::chrono::seconds(1), [&](const net::HttpResult& result) {
                     metrics = result.body;
                     answered = true;
                   });
    RunUntil([&] { return answered; });
    const bool held =
        metrics.find("ibis_gate_target_held 1") != std::string::npos;
    EXPECT_TRUE(held ||
                metrics.find("ibis_gate_target_held 0") != std::string::npos);
    return held;
  }

  world::TargetState SeenState() const {
    const auto found = keeper_->members().find(settings_.id);
    return found == keeper_->members().end() ? world::TargetState::kNone
                                             : found->second.target;
  }

  static std::string NewFolder() {
    std::string data = testing::TempDir() + "ibis-departure-XXXXXX";
    EXPECT_NE(mkdtemp(data.data()), nullptr);
    return data;
  }

  const std::string data_ = NewFolder();
  net::EventLoop loop_;
  config::Settings settings_;
  std::unique_ptr<control::Keeper> group_;
  std::unique_ptr<membership::MembershipService> keeper_;
  std::unique_ptr<NodeProcess> node_;
};

// After a node was killed, a late announcement of its target, which was
// acknowledged as gone, made the target ready again until it exited under its
// requests.
TEST_F(DepartureTest, ATargetThatIsGoneIsNotReadyAfterARestartOfItsNode) {
  StartKeeper();
  StartNode();
  ASSERT_TRUE(Announce(false));
  RunUntil([&] { return SeenState() == world::TargetState::kReady; });
  ASSERT_EQ(SeenState(), world::TargetState::kReady);
  ASSERT_TRUE(Announce(true));
  node_.reset();
  StartNode();
  Announce(false);
  bool ready = false;
  RunUntil(
      [&] {
        ready = ready || SeenState() == world::TargetState::kReady;
        return ready;
      },
      std::chrono::seconds(3));
  EXPECT_FALSE(ready);
}

// A departure that arrived before any other announcement of its run was
// acknowledged and forgotten, so that the late announcement made the target
// ready until it exited under its requests.
TEST_F(DepartureTest, ADepartureIsRememberedIfItsRunWasNeverSeen) {
  StartKeeper();
  StartNode();
  ASSERT_TRUE(Announce(false));
  ASSERT_TRUE(GetsReady(std::chrono::seconds(3)));
  ASSERT_TRUE(Announce(Announcement(true, "i-2", 2000)));
  Announce(Announcement(false, "i-2", 2000));
  RunUntil([&] { return SeenState() != world::TargetState::kReady; });
  EXPECT_EQ(SeenState(), world::TargetState::kDraining);
  Announce(Announcement(false, "i-3", 3000));
  EXPECT_TRUE(GetsReady(std::chrono::seconds(3)));
}

// The same across a restart of the node: the fleet knows of each departure, not
// only of that of the run that started last.
TEST_F(DepartureTest, EachDepartureOutlivesTheNode) {
  StartKeeper();
  StartNode();
  ASSERT_TRUE(Announce(false));
  ASSERT_TRUE(GetsReady(std::chrono::seconds(3)));
  ASSERT_TRUE(Announce(Announcement(true, "i-2", 2000)));
  ASSERT_TRUE(Announce(true));
  for (const auto& [identity, started_ms] :
       std::map<std::string, uint64_t>{{"i-1", 1000}, {"i-2", 2000}}) {
    node_.reset();
    StartNode();
    Announce(Announcement(false, identity, started_ms));
    EXPECT_FALSE(GetsReady(std::chrono::seconds(2))) << identity;
  }
}

// A departure of a run that nobody can tell from a later one cannot be
// remembered.
TEST_F(DepartureTest, ADepartureWithoutStartOfAnUnknownRunIsNotAcknowledged) {
  StartKeeper();
  StartNode();
  EXPECT_FALSE(Announce(Announcement(true, "i-1", 0)));
  ASSERT_TRUE(Announce(false));
  ASSERT_TRUE(GetsReady(std::chrono::seconds(3)));
  EXPECT_FALSE(Announce(Announcement(true, "i-2", 0)));
  EXPECT_TRUE(Announce(Announcement(true, "i-1", 0)));
  Announce(false);
  EXPECT_EQ(SeenState(), world::TargetState::kDraining);
}

// An acknowledged departure must outlive the node, so it is not acknowledged
// while nobody else knows of it.
TEST_F(DepartureTest, ADepartureThatNobodyElseKnowsIsNotAcknowledged) {
  StartKeeper();
  StartNode();
  ASSERT_TRUE(Announce(false));
  RunUntil([&] { return SeenState() == world::TargetState::kReady; });
  keeper_.reset();
  EXPECT_FALSE(Announce(true));
}

// Guards against an acknowledged departure that is forgotten when all processes
// are killed at once, so that a late announcement makes the target ready again.
TEST_F(DepartureTest, ADepartureOutlivesAllProcesses) {
  StartKeeper();
  StartNode();
  ASSERT_TRUE(Announce(false));
  ASSERT_TRUE(GetsReady(std::chrono::seconds(3)));
  ASSERT_TRUE(Announce(true));
  RestartWithoutGroup();
  Announce(false);
  EXPECT_FALSE(GetsUsed(std::chrono::seconds(1)));
  StartGroup();
  EXPECT_FALSE(GetsUsed(std::chrono::seconds(4)));
  Announce(Announcement(false, "i-2", 2000));
  EXPECT_TRUE(GetsUsed(std::chrono::seconds(3)));
}

// The same for a departure that the keepers tell a node only after it went by
// what the other members remember.
TEST_F(DepartureTest, ADepartureThatIsLearnedLateEndsTheRun) {
  StartKeeper();
  StartNode();
  ASSERT_TRUE(Announce(false));
  ASSERT_TRUE(Announce(true));
  RestartWithoutGroup();
  Announce(false);
  ASSERT_TRUE(GetsUsed(std::chrono::seconds(4))) << "no keeper answers";
  StartGroup();
  RunUntil([&] { return SeenState() == world::TargetState::kDraining; });
  EXPECT_EQ(SeenState(), world::TargetState::kDraining);
}

// An acknowledged departure must outlive all processes, so it is not
// acknowledged while no keeper has stored it.
TEST_F(DepartureTest, ADepartureThatNoKeeperStoredIsNotAcknowledged) {
  StartKeeper();
  StartNode();
  ASSERT_TRUE(Announce(false));
  ASSERT_TRUE(GetsReady(std::chrono::seconds(3)));
  group_.reset();
  const Time begin = loop_.Now();
  EXPECT_FALSE(Announce(true));
  EXPECT_LT(loop_.Now() - begin, std::chrono::seconds(1))
      << "the target waits no longer";
  StartGroup();
  bool recorded = false;
  for (int i = 0; i < 10 && !recorded; ++i) {
    recorded = Announce(true);
  }
  EXPECT_TRUE(recorded);
}

// A node that no other member answers still uses its own target, and does not
// let it wait for an answer: a target takes one that comes within a second.
TEST_F(DepartureTest, ANodeOnItsOwnUsesItsTargetSoon) {
  StartNode();
  const Time begin = loop_.Now();
  EXPECT_TRUE(Announce(false));
  EXPECT_LT(loop_.Now() - begin, std::chrono::milliseconds(100));
  RunUntil(
      [&] { return loop_.Now() - begin >= std::chrono::milliseconds(700); });
  StartKeeper({node_gossip()});
  RunUntil([&] { return SeenState() != world::TargetState::kNone; });
  EXPECT_EQ(SeenState(), world::TargetState::kReady);
}

}  // namespace
}  // namespace ibisvalve::node
