#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <memory>
#include <random>
#include <vector>

#include "control/keeper_fixture.h"
#include "control/replica_driver.h"

namespace ibisvalve::control {
namespace {

constexpr uint64_t kSeeds = 2000;
constexpr int kSteps = 120;

// One replica that gets messages which no sound peer sends, beside sound ones,
// and may be founded, restarted and delayed at any time.
class OddMessages {
 public:
  explicit OddMessages(uint64_t seed) : random_(seed) {
    for (const uint64_t id : {1, 2, 3}) {
      members_.members.push_back(
          {wire::ReplicaId(id), NodeId(std::to_string(id)), {}, true});
    }
    Restart();
  }

  void Step() {
    now_ += std::chrono::milliseconds(Below(400));
    switch (Below(12)) {
      case 0:
        Restart();
        break;
      case 1:
        replica_->FoundNewGroup(members_, now_);
        break;
      case 2:
        replica_->Propose("command");
        replica_->RequestRead();
        break;
      case 3:
        replica_->ProposeMembers(members_);
        break;
      case 4:
        replica_->Compact(delivered_);
        break;
      case 5:
      case 6:
        replica_->Tick(now_);
        break;
      default:
        try {
          replica_->Receive(RandomMessage(), now_);
        } catch (const wire::WireError&) {
          ++refused_;  // the link to such a peer is closed
        }
    }
    Perform();
  }

  uint64_t refused() const { return refused_; }

 private:
  uint64_t Below(uint64_t bound) { return random_() % bound; }
  // Returns a number near `value`, or rarely any number.
  uint64_t Near(uint64_t value) {
    switch (Below(20)) {
      case 0:
        return std::numeric_limits<uint64_t>::max() - Below(2);
      case 1:
        return random_();
      default:
        return value + Below(6) - std::min<uint64_t>(value, 3);
    }
  }
  wire::ReplicaId Peer() { return wire::ReplicaId(1 + Below(4)); }
  wire::ReplicaId Self() const { return wire::ReplicaId(1); }

  ReplicaMessage RandomMessage() {
    const ReplicaLog& log = replica_->log();
    const uint64_t term = Near(replica_->term());
    switch (Below(5)) {
      case 0:
        return wire::VoteRequest{Peer(),
                                 Self(),
                                 term,
                                 Near(log.last_index()),
                                 Near(log.last_term()),
                                 Below(2) == 0};
      case 1:
        return wire::VoteReply{Peer(), Self(), term, Below(2) == 0,
                               Below(2) == 0};
      case 2:
        return wire::AppendReply{
            Peer(), Self(), term, Below(2) == 0, Near(log.last_index()),
            Near(3)};
      case 3:
        return wire::InstallSnapshot{Peer(),
                                     Self(),
                                     term,
                                     Near(log.last_index()),
                                     Near(replica_->term()),
                                     members_,
                                     "state"};
      default:
        return RandomAppend(term);
    }
  }

  wire::AppendRequest RandomAppend(uint64_t term) {
    const ReplicaLog& log = replica_->log();
    wire::AppendRequest request{Peer(),
                                Self(),
                                term,
                                Near(log.last_index()),
                                Near(log.last_term()),
                                Near(replica_->commit()),
                                Near(1),
                                {}};
    const uint64_t count = Below(4);
    for (uint64_t i = 1; i <= count; ++i) {
      const uint64_t index =
          Below(6) == 0 ? Near(log.last_index()) : request.prev_index + i;
      const auto kind = static_cast<wire::EntryKind>(Below(3));
      std::string data = Below(4) == 0 ? "odd" : wire::Encode(members_);
      request.entries.push_back({index, Near(term), kind, std::move(data)});
    }
    return request;
  }

  void Restart() {
    replica_ = std::make_unique<Replica>(
        ReplicaSettings{.self = Self(), .seed = random_()}, disk_, now_);
    delivered_ = disk_.snapshot.index;
  }

  void Perform() {
    for (;;) {
      const ReplicaActions actions = replica_->TakeActions(now_);
      if (actions.empty()) {
        return;
      }
      if (actions.hard_state) {
        disk_.hard_state = *actions.hard_state;
      }
      if (actions.install) {
        disk_.snapshot = actions.install->meta;
        disk_.entries.clear();
        delivered_ = disk_.snapshot.index;
      }
      for (const wire::LogEntry& entry : actions.entries) {
        std::erase_if(disk_.entries, [&](const wire::LogEntry& old) {
          return old.index >= entry.index;
        });
        disk_.entries.push_back(entry);
      }
      replica_->OnSynced();
      for (const wire::LogEntry& entry : actions.committed) {
        EXPECT_EQ(entry.index, delivered_ + 1);
        delivered_ = entry.index;
      }
      for (const wire::ReplicaId peer : actions.need_snapshot) {
        replica_->SendSnapshot(peer, delivered_, "state", now_);
      }
    }
  }

  std::mt19937_64 random_;
  Time now_{std::chrono::seconds(1)};
  wire::KeeperMembers members_{wire::GroupId(1), {}};
  RecoveredLog disk_;
  std::unique_ptr<Replica> replica_;
  uint64_t delivered_ = 0;
  uint64_t refused_ = 0;
};

// A message of a peer, in any order, with any content, must not end a keeper.
TEST(OddMessageTest, NoMessageEndsAReplica) {
  uint64_t refused = 0;
  for (uint64_t seed = 1; seed <= kSeeds && !testing::Test::HasFailure();
       ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    OddMessages run(seed);
    for (int step = 0; step < kSteps; ++step) {
      run.Step();
    }
    refused += run.refused();
  }
  EXPECT_GT(refused, kSeeds);
}

// A snapshot that could not be read ended the keeper that received it, after
// its log had been replaced.
TEST(OddMessageTest, ASnapshotThatCannotBeReadIsRefused) {
  net::EventLoop loop;
  const TemporaryFolder folder;
  ReplicaDriver driver(loop, {folder.path(), true},
                       std::chrono::milliseconds(100),
                       std::chrono::milliseconds(800),
                       {[](const ReplicaMessage&) {},
                        [](const wire::LogEntry*) {}, [] {}, [] {}});
  wire::InstallSnapshot snapshot{
      wire::ReplicaId(2), driver.self(), 1, 5, 1, {}, "odd"};
  EXPECT_THROW(driver.Receive(snapshot), wire::WireError);
  snapshot.data = StateMachine().Save();  // of index 0
  EXPECT_THROW(driver.Receive(snapshot), wire::WireError);
  loop.Poll();
  EXPECT_EQ(driver.replica().log().last_index(), 0U);
}

}  // namespace
}  // namespace ibisvalve::control
