#include <random>

#include "control/keeper_fixture.h"
#include "support/slow_relay.h"

namespace ibisvalve::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Text that does not become shorter by compression.
std::string RandomText(size_t bytes) {
  std::mt19937 random(7);
  std::uniform_int_distribution<int> any(' ', '~');
  std::string text(bytes, ' ');
  for (char& c : text) {
    c = static_cast<char>(any(random));
  }
  return text;
}

// One keeper whose nodes are behind a slow link.
class SlowLinkTest : public KeeperFixture {
 protected:
  void Start(size_t bytes_per_second) {
    Reserve(1);
    StartKeeper(0);
    relay_.emplace(loop_, endpoints_[0], bytes_per_second);
    endpoints_ = {relay_->local()};
  }
  nlohmann::json Apply(int number, const std::string& text) {
    return AskJson(0, "POST",
                   "/apply?change=c" + std::to_string(number) +
                       "&base=" + std::to_string(number - 1),
                   text);
  }

  std::optional<SlowRelay> relay_;
};

// Guards against a transfer that never ends: lease grants wait behind the file,
// and a node that gave up its keeper for lack of a grant began the file anew.
TEST_F(SlowLinkTest, NodeReceivesAFileThatTakesLongerThanItWaitsForAGrant) {
  constexpr size_t kBytesPerSecond = 200'000;
  Start(kBytesPerSecond);
  Apply(1, RandomText(2 * kBytesPerSecond));
  const auto node = StartNode("node-1");
  EXPECT_TRUE(RunUntil([&] { return !node->activated.empty(); }, seconds(5)));
}

// Guards against changes that cost each node the whole file: they fill small
// links, and reach the nodes the later the larger the file is.
TEST_F(SlowLinkTest, ASmallChangeOfALargeFileNeedsFewBytes) {
  // One second of what the design allows for control at each node.
  constexpr size_t kMaxBytes = 5'000;
  constexpr size_t kFileBytes = 400'000;
  Start(10 * kFileBytes);
  const std::string text = RandomText(kFileBytes);
  Apply(1, text);
  const auto node = StartNode("node-1");
  ASSERT_TRUE(RunUntil([&] { return node->lease; }));
  const size_t before = relay_->bytes();
  std::string changed = text;
  changed.replace(kFileBytes / 2, 4, "new part");
  Apply(2, changed);
  ASSERT_TRUE(RunUntil([&] { return node->activated.size() == 2; }));
  EXPECT_EQ(node->agent->active_file()->text, changed);
  EXPECT_LE(relay_->bytes() - before, kMaxBytes);
}

// Returns a record of 32 crashes, of which `counting` count against the
// request.
world::CrashRecord CrashesOf(uint64_t resource, uint64_t counting) {
  world::CrashRecord record{Digest(resource), {}};
  for (uint64_t number = 1; number <= 32; ++number) {
    const bool cleared = number > counting;
    record.crashes.push_back(
        {{NodeId("examination-host-" + std::to_string(number)),
          Incarnation(number), number},
         Digest(resource + 1000),
         1,
         cleared,
         cleared});
  }
  return record;
}

class RememberedCrashesOverASlowLinkTest : public SlowLinkTest {
 protected:
  static constexpr size_t kBytesPerSecond = 500'000;
  static constexpr uint64_t kResources = 256;

  // Starts a keeper that remembers crashes of many requests, of which
  // `counting` count against the first one and none against the others.
  void StartWithCrashes(uint64_t counting) {
    Start(100 * kBytesPerSecond);
    Apply(1, "file");
    std::vector<world::CrashRecord> records;
    for (uint64_t resource = 1; resource <= kResources; ++resource) {
      records.push_back(CrashesOf(resource, 32));
    }
    const auto reporter = StartNode("reporter");
    ASSERT_TRUE(RunUntil([&] { return reporter->lease; }));
    reporter->agent->ReportCrashes(records);
    for (world::CrashRecord& record : records) {
      record = CrashesOf(record.resource.value,
                         record.resource == Digest(1) ? counting : 0);
    }
    reporter->agent->ReportCrashes(records);
    RunFor(milliseconds(500));
    const world::Endpoint keeper = keepers_[0].keeper->control();
    relay_.emplace(loop_, keeper, kBytesPerSecond);
    endpoints_ = {relay_->local()};
  }
};

// Guards against a file that waits behind megabytes of remembered crashes:
// after a loss of all power, nodes on small links served nothing for seconds.
TEST_F(RememberedCrashesOverASlowLinkTest,
       AFileDoesNotWaitBehindClearedCrashes) {
  StartWithCrashes(0);
  const Time start = loop_.Now();
  const auto node = StartNode("node");
  ASSERT_TRUE(RunUntil([&] { return node->lease; }));
  EXPECT_LT(loop_.Now() - start, seconds(1));
  EXPECT_LT(relay_->bytes(), 5'000U);
}

// Guards against a node that serves a quarantined request because it got its
// file first.
TEST_F(RememberedCrashesOverASlowLinkTest,
       CrashesThatQuarantineARequestArriveBeforeTheFile) {
  StartWithCrashes(2);
  const auto node = StartNode("node");
  ASSERT_TRUE(RunUntil([&] { return !node->activated.empty(); }));
  ASSERT_EQ(node->crashes.size(), 1U);
  EXPECT_EQ(node->crashes[0].resource, Digest(1));
}

}  // namespace
}  // namespace ibisvalve::control
