#include "control/departure_ledger.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

#include "control/keeper_fixture.h"
#include "control/state_machine.h"

namespace ibisvalve::control {
namespace {

using std::chrono::seconds;

constexpr uint64_t kNowUs = 1'700'000'000'000'000;
constexpr uint64_t kHourUs = 3'600'000'000;

AddDeparture Departure(const std::string& node,
                       uint64_t started_ms,
                       uint64_t at_us = kNowUs) {
  return {NodeId(node), {started_ms, Digest(started_ms)}, at_us};
}

TEST(DepartureLedgerTest, KeepsTheRunsOfEachHost) {
  DepartureLedger ledger;
  ledger.Apply(Departure("a", 1000));
  ledger.Apply(Departure("a", 2000));
  ledger.Apply(Departure("b", 3000));
  EXPECT_TRUE(ledger.Of(NodeId("a")).Names({1000, Digest(1000)}));
  EXPECT_TRUE(ledger.Of(NodeId("a")).Names({2000, Digest(2000)}));
  EXPECT_FALSE(ledger.Of(NodeId("a")).Names({3000, Digest(3000)}));
  EXPECT_TRUE(ledger.Of(NodeId("c")).empty());
}

// Guards against a ledger that grows with each host that was ever replaced, or
// with each identity that a caller invents.
TEST(DepartureLedgerTest, IsBounded) {
  DepartureLedger ledger;
  for (uint64_t i = 1; i <= 10'000; ++i) {
    ledger.Apply(Departure("n" + std::to_string(i), i, kNowUs + i));
    ledger.Apply(Departure("same", i, kNowUs + i));
  }
  EXPECT_EQ(ledger.size(), 4096U);
  EXPECT_FALSE(ledger.Of(NodeId("n10000")).empty());
  EXPECT_TRUE(ledger.Of(NodeId("n1")).empty());
  EXPECT_EQ(ledger.Of(NodeId("same")).runs().size(),
            world::DepartedRuns::kMaxRuns);
  ledger.Apply(Departure("last", 1, kNowUs + 2 * kHourUs));
  EXPECT_EQ(ledger.size(), 1U);
}

// Guards against snapshots of the release before, which end with the zones.
TEST(DepartureLedgerTest, SnapshotsWithoutDeparturesAreRead) {
  StateMachine state;
  wire::LogEntry entry{1, 1, wire::EntryKind::kCommand,
                       wire::Encode(Command(Departure("a", 1000)))};
  state.Apply(entry);
  StateMachine copy;
  copy.Load(state.Save());
  EXPECT_EQ(copy.departures().Of(NodeId("a")),
            state.departures().Of(NodeId("a")));
  const std::string empty = StateMachine().Save();
  // The empty ledger at the end is the length of a map.
  StateMachine older;
  older.Load(empty.substr(0, empty.size() - sizeof(uint32_t)));
  EXPECT_TRUE(older.departures().Of(NodeId("a")).empty());
}

class RememberedDeparturesTest : public KeeperFixture {
 protected:
  // Has `node` ask for its departure until it is stored.
  bool Record(Node& node, const world::TargetRun& run, Duration limit) {
    const auto answer = std::make_shared<std::optional<bool>>();
    bool asked = false;
    return RunUntil(
        [&] {
          if (!asked || *answer == false) {
            asked = true;
            answer->reset();
            node.agent->RecordDeparture(
                run, [answer](bool stored) { *answer = stored; });
          }
          return *answer == true;
        },
        limit);
  }
};

// Guards against departures that are only in the memory of processes, and
// against keepers that confirm them before a majority has them on disk.
TEST_F(RememberedDeparturesTest, OutliveAllProcessesAndTheLossOfADisk) {
  Reserve(3);
  for (size_t i = 0; i < 3; ++i) {
    StartKeeper(i);
  }
  const world::TargetRun run{1000, Digest(7)};
  auto node = StartNode("suva-1");
  ASSERT_TRUE(Record(*node, run, seconds(20)));
  node.reset();
  for (size_t i = 0; i < 3; ++i) {
    StopKeeper(i);
  }
  LoseDisk(0);
  for (size_t i = 1; i < 3; ++i) {
    StartKeeper(i);
  }
  node = StartNode("suva-1");
  EXPECT_TRUE(
      RunUntil([&] { return node->departed.has_value(); }, seconds(20)));
  EXPECT_EQ(*node->departed, world::DepartedRuns().With(run));
  const auto other = StartNode("suva-2");
  EXPECT_TRUE(RunUntil([&] { return other->departed.has_value(); }));
  EXPECT_TRUE(other->departed->empty());
}

// Guards against acknowledgements that come too late for their targets, which
// wait for a second, when a zone drains at once while a keeper is down.
TEST_F(RememberedDeparturesTest, OfAWholeZoneAreStoredInTimeWithAKeeperDown) {
  constexpr size_t kHosts = 60;
  Reserve(3);
  for (size_t i = 0; i < 3; ++i) {
    StartKeeper(i);
  }
  std::vector<std::unique_ptr<Node>> nodes;
  for (size_t i = 0; i < kHosts; ++i) {
    nodes.push_back(StartNode("suva-" + std::to_string(i)));
  }
  const auto all_follow = [&] {
    return std::all_of(nodes.begin(), nodes.end(), [](const auto& node) {
      return node->departed.has_value();
    });
  };
  ASSERT_TRUE(RunUntil(all_follow));
  const int leader = LeaderOf(0);
  ASSERT_GE(leader, 0);
  StopKeeper(leader == 0 ? 1 : 0);
  for (const auto& node : nodes) {
    node->departed.reset();
  }
  ASSERT_TRUE(RunUntil(all_follow));
  size_t stored = 0;
  const Time begin = loop_.Now();
  for (size_t i = 0; i < kHosts; ++i) {
    nodes[i]->agent->RecordDeparture({1000, Digest(i + 1)},
                                     [&](bool result) { stored += result; });
  }
  EXPECT_TRUE(
      RunUntil([&] { return stored == kHosts; }, std::chrono::seconds(1)));
  RecordProperty("took_ms", static_cast<int>(ToMillis(loop_.Now() - begin)));
}

// Guards against a confirmation by keepers that have no majority.
TEST_F(RememberedDeparturesTest, AreNotConfirmedWithoutAMajority) {
  Reserve(3);
  for (size_t i = 0; i < 3; ++i) {
    StartKeeper(i);
  }
  auto node = StartNode("suva-1");
  ASSERT_TRUE(Record(*node, {1000, Digest(7)}, seconds(20)));
  StopKeeper(1);
  StopKeeper(2);
  EXPECT_FALSE(Record(*node, {2000, Digest(8)}, seconds(3)));
  StartKeeper(1);
  EXPECT_TRUE(Record(*node, {2000, Digest(8)}, seconds(20)));
}

}  // namespace
}  // namespace ibisvalve::control
