#include "control/crash_ledger.h"

#include "control/keeper_fixture.h"
#include "control/state_machine.h"

namespace ibisvalve::control {
namespace {

constexpr uint64_t kNowUs = 1'000'000'000'000;
constexpr uint64_t kSecondUs = 1'000'000;
constexpr uint64_t kRetentionUs = 600 * kSecondUs;

// Returns the record of `count` crashes of one request.
world::CrashRecord RecordOf(uint64_t resource, uint64_t count) {
  world::CrashRecord record{Digest(resource), {}};
  for (uint64_t number = 1; number <= count; ++number) {
    record.crashes.push_back({{NodeId("gate"), Incarnation(1), number},
                              Digest(resource + 1),
                              number * kSecondUs,
                              false,
                              false});
  }
  return record;
}

TEST(CrashLedgerTest, RemembersCrashesWithTheirAge) {
  CrashLedger ledger;
  const AddCrashes add{{RecordOf(7, 2)}, kNowUs};
  EXPECT_TRUE(ledger.HasNews(add));
  ledger.Apply(add);
  EXPECT_FALSE(ledger.HasNews(add));
  const auto records = ledger.Records(kNowUs + 5 * kSecondUs);
  ASSERT_EQ(records.size(), 1U);
  ASSERT_EQ(records[0].crashes.size(), 2U);
  EXPECT_EQ(records[0].crashes[0].age_us, 6 * kSecondUs);
  EXPECT_TRUE(ledger.Records(kNowUs + kRetentionUs).empty()) << "expired";
}

// A request that was answered must not be quarantined again by an old report.
TEST(CrashLedgerTest, AClearedCrashStaysCleared) {
  CrashLedger ledger;
  const AddCrashes crashed{{RecordOf(7, 2)}, kNowUs};
  AddCrashes cleared = crashed;
  cleared.records[0].crashes[0].cleared = true;
  ledger.Apply(crashed);
  EXPECT_TRUE(ledger.HasNews(cleared));
  ledger.Apply(cleared);
  EXPECT_FALSE(ledger.HasNews(crashed));
  ledger.Apply(crashed);
  EXPECT_TRUE(ledger.Records(kNowUs)[0].crashes[0].cleared);
}

TEST(CrashLedgerTest, IsBounded) {
  constexpr size_t kMaxResources = 256;
  CrashLedger ledger;
  for (uint64_t resource = 1; resource <= 1000; ++resource) {
    ledger.Apply({{RecordOf(resource, 100)}, kNowUs + resource});
  }
  const auto records = ledger.Records(kNowUs + 1000);
  EXPECT_EQ(records.size(), kMaxResources);
  EXPECT_LE(records.front().crashes.size(), 32U);
  EXPECT_EQ(records.back().resource, Digest(1000)) << "the newest are kept";
}

// Data that an earlier release wrote must be readable.
TEST(CrashLedgerTest, ASnapshotWithoutALedgerIsRead) {
  std::string bytes;
  wire::OutArchive archive(bytes);
  archive(uint64_t{3}, ConfigHistory(), ClaimTable());
  StateMachine state;
  state.Load(bytes);
  EXPECT_EQ(state.applied(), 3U);
  EXPECT_TRUE(state.crashes().Records(kNowUs).empty());
}

class RememberedCrashesTest : public KeeperFixture {};

// After all processes had been killed, nobody knew which requests crash
// targets, and they ended all targets of their service once more.
TEST_F(RememberedCrashesTest, CrashesOutliveAllProcesses) {
  Reserve(3);
  for (size_t number = 0; number < 3; ++number) {
    StartKeeper(number);
  }
  ASSERT_TRUE(RunUntil([&] { return LeaderOf(0) >= 0; }));
  const std::vector<world::CrashRecord> records = {RecordOf(7, 2)};
  {
    const auto node = StartNode("a");
    const auto other = StartNode("b");
    ASSERT_TRUE(RunUntil([&] {
      node->agent->ReportCrashes(records);
      return !other->crashes.empty();
    }));
  }
  for (size_t number = 0; number < 3; ++number) {
    StopKeeper(number);
  }
  for (size_t number = 0; number < 3; ++number) {
    StartKeeper(number);
  }
  const auto node = StartNode("a");
  ASSERT_TRUE(RunUntil([&] { return !node->crashes.empty(); }));
  EXPECT_EQ(node->crashes[0].resource, Digest(7));
  EXPECT_EQ(node->crashes[0].crashes.size(), 2U);
}

// Guards against keepers that, while they apply their log anew after a restart,
// tell nodes of each quarantine that it once held.
TEST_F(RememberedCrashesTest, AClearedQuarantineIsNotToldAfterARestart) {
  Reserve(3);
  for (size_t number = 0; number < 3; ++number) {
    StartKeeper(number);
  }
  ASSERT_TRUE(RunUntil([&] { return LeaderOf(0) >= 0; }));
  world::CrashRecord record = RecordOf(7, 2);
  {
    const auto node = StartNode("a");
    const auto other = StartNode("b");
    ASSERT_TRUE(RunUntil([&] {
      node->agent->ReportCrashes({record});
      return other->told_of_quarantine;
    }));
    for (world::KnownCrash& crash : record.crashes) {
      crash.cleared = crash.resource_cleared = true;
    }
    ASSERT_TRUE(RunUntil([&] {
      node->agent->ReportCrashes({record});
      return world::WeightOf(other->crashes.at(0)) == world::CrashWeight::kNone;
    }));
  }
  for (size_t number = 0; number < 3; ++number) {
    StopKeeper(number);
  }
  const auto node = StartNode("a");
  for (size_t number = 0; number < 3; ++number) {
    StartKeeper(number);
  }
  ASSERT_TRUE(RunUntil([&] { return node->departed.has_value(); }));
  EXPECT_FALSE(node->told_of_quarantine);
}

}  // namespace
}  // namespace ibisvalve::control
