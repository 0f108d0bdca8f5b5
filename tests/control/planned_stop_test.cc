#include "control/keeper_fixture.h"

namespace ibisvalve::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Longest wait for the group before a process ends, with some slack.
constexpr Duration kMaxDeparture = milliseconds(3500);

// Stops keepers of a group that manages its members, over real sockets.
class PlannedStopTest : public KeeperFixture {
 protected:
  void StartAll(size_t count) {
    manages_membership_ = true;
    activates_immediately_ = true;
    Reserve(count);
    for (size_t number = 0; number < count; ++number) {
      StartKeeper(number);
    }
    ASSERT_TRUE(RunUntil([&] { return LeaderOf(0) >= 0; }));
    ASSERT_TRUE(Apply("first", 0));
  }

  // Stops a keeper as SIGTERM does. Returns whether it ended in time.
  bool StopAsPlanned(size_t number) { return StopAsPlanned(std::set{number}); }

  bool StopAsPlanned(const std::set<size_t>& numbers) {
    size_t done = 0;
    for (const size_t number : numbers) {
      keepers_[number].keeper->Leave([&] { ++done; });
    }
    const bool ended =
        RunUntil([&] { return done == numbers.size(); }, kMaxDeparture);
    for (const size_t number : numbers) {
      StopKeeper(number);
      stopped_.insert(number);
    }
    return ended;
  }

  void LoseDisksAndRestart(const std::set<size_t>& numbers) {
    for (const size_t number : numbers) {
      StopKeeper(number);
      LoseDisk(number);
    }
    RunFor(seconds(1));
    for (const size_t number : numbers) {
      StartKeeper(number);
    }
  }

  // Tells each keeper of all others, as gossip does.
  void DiscoverAll() {
    for (const KeeperInstance& instance : keepers_) {
      std::set<world::Endpoint> others(endpoints_.begin(), endpoints_.end());
      others.erase(instance.keeper->control());
      instance.keeper->SetDiscoveredKeepers(others);
    }
  }

  // Applies a file through a keeper that runs.
  bool Apply(const std::string& change, int base) {
    return RunUntil([&] {
      return AskJson(
                 FirstRunning(), "POST",
                 "/apply?change=" + change + "&base=" + std::to_string(base),
                 "file " + change)["result"] == "active";
    });
  }

  size_t FirstRunning() const {
    size_t number = 0;
    while (stopped_.contains(number)) {
      ++number;
    }
    return number;
  }

  size_t Voters() {
    size_t count = 0;
    const nlohmann::json keepers = AskJson(FirstRunning(), "GET", "/keepers");
    for (const auto& member : keepers["members"]) {
      count += member.value("voter", false) ? 1 : 0;
    }
    return count;
  }

  // The first `count` running keepers other than the leader, or with it.
  std::set<size_t> Victims(size_t count, bool with_leader) {
    std::set<size_t> victims;
    const int leader = LeaderOf(FirstRunning());
    if (with_leader && leader >= 0) {
      victims.insert(static_cast<size_t>(leader));
    }
    for (size_t number = 0; victims.size() < count; ++number) {
      if (!stopped_.contains(number) && static_cast<int>(number) != leader) {
        victims.insert(number);
      }
    }
    return victims;
  }

  std::set<size_t> stopped_;
};

// Two disks that were lost right after a planned replacement left the group
// without a majority for good: the keeper that had stopped was still a voter.
TEST_F(PlannedStopTest, TheLossOfTwoDisksRightAfterAPlannedStopIsSurvived) {
  for (const bool with_leader : {false, true}) {
    SCOPED_TRACE(with_leader ? "with the leader's disk" : "without it");
    stopped_.clear();
    endpoints_.clear();
    keepers_.clear();
    for (size_t number = 0; number < 6; ++number) {
      LoseDisk(number);
    }
    StartAll(6);
    const std::set<size_t> last = {5};
    ASSERT_TRUE(StopAsPlanned(last));
    LoseDisksAndRestart(Victims(2, with_leader));
    EXPECT_TRUE(Apply("second", 1));
    EXPECT_TRUE(RunUntil([&] { return Voters() == 5; }));
  }
}

TEST_F(PlannedStopTest, TheLeaderCanBeTheOneThatStops) {
  StartAll(6);
  ASSERT_TRUE(StopAsPlanned(Victims(1, true)));
  LoseDisksAndRestart(Victims(2, false));
  EXPECT_TRUE(Apply("second", 1));
}

// Two planned replacements in a row, both with their successors in the group.
TEST_F(PlannedStopTest, TwoKeepersThatStopAtOnceBothLoseTheirVotes) {
  StartAll(7);
  ASSERT_TRUE(StopAsPlanned(std::set<size_t>{5, 6}));
  EXPECT_EQ(Voters(), 5U);
  LoseDisksAndRestart({0, 1});
  EXPECT_TRUE(Apply("second", 1));
}

// A restart of a keeper that the group cannot spare takes no time and no vote.
TEST_F(PlannedStopTest, AKeeperThatTheGroupNeedsStopsAtOnceAndKeepsItsVote) {
  StartAll(5);
  const Time begin = loop_.Now();
  ASSERT_TRUE(StopAsPlanned(4));
  EXPECT_LT(loop_.Now() - begin, milliseconds(500));
  EXPECT_EQ(Voters(), 5U);
}

// All keepers are stopped at once, so no majority answers the last ones.
TEST_F(PlannedStopTest, AllKeepersCanStopAtOnce) {
  StartAll(6);
  ASSERT_TRUE(StopAsPlanned(std::set<size_t>{0, 1, 2, 3, 4, 5}));
  stopped_.clear();
  for (size_t number = 0; number < 6; ++number) {
    StartKeeper(number);
  }
  DiscoverAll();  // one of them, which may be the first, has lost its vote
  EXPECT_TRUE(Apply("second", 1));
  EXPECT_TRUE(RunUntil([&] { return Voters() == 6; }));
}

// A stop without a majority must not outlast the time that a planned stop has.
TEST_F(PlannedStopTest, AKeeperWithoutAMajorityStopsWithinItsLimit) {
  StartAll(6);
  for (size_t number = 0; number < 4; ++number) {
    StopKeeper(number);
  }
  EXPECT_TRUE(StopAsPlanned(std::set<size_t>{4, 5}));
}

// A planned stop may be a restart: the keeper comes back with its disk.
TEST_F(PlannedStopTest, AKeeperThatReturnsAfterAPlannedStopVotesAgain) {
  StartAll(6);
  ASSERT_TRUE(StopAsPlanned(5));
  EXPECT_EQ(Voters(), 5U);
  StartKeeper(5);
  stopped_.clear();
  DiscoverAll();
  EXPECT_TRUE(RunUntil([&] { return Voters() == 6; }));
  EXPECT_TRUE(Apply("second", 1));
}

}  // namespace
}  // namespace ibisvalve::control
