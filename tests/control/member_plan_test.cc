#include <gtest/gtest.h>

#include "control/config_history.h"
#include "control/member_plan.h"

namespace ibisvalve::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kNow = Time(seconds(100));

world::Endpoint At(int number) {
  return {"10.0.0." + std::to_string(number), 7100};
}

// Returns the leader's view of a group of `count` voters that all answer.
GroupView Group(int count) {
  GroupView view;
  view.members.group = wire::GroupId(1);
  view.commit = 50;
  view.election_timeout = milliseconds(800);
  view.replaces_dead_members = true;
  view.tolerated_disk_losses = 2;
  for (int i = 1; i <= count; ++i) {
    const wire::ReplicaId replica(static_cast<uint64_t>(i));
    const NodeId id("k" + std::to_string(i));
    view.members.members.push_back({replica, id, At(i), true});
    view.hellos[At(i)] = {view.members.group, replica, id, At(i), false};
    view.peers[replica].match = 50;
    view.peers[replica].last_reply = kNow;
  }
  return view;
}

void MakeUnreachable(GroupView& view, int number) {
  view.hellos.erase(At(number));
  view.peers[wire::ReplicaId(static_cast<uint64_t>(number))].last_reply =
      kNow - seconds(10);
}

// Adds a discovered keeper without a group at endpoint `number`.
void Discover(GroupView& view, int number, uint64_t replica) {
  view.discovered.insert(At(number));
  view.hellos[At(number)] = {wire::GroupId(), wire::ReplicaId(replica),
                             NodeId("n" + std::to_string(replica)), At(number),
                             false};
}

size_t Voters(const wire::KeeperMembers& members) {
  return static_cast<size_t>(
      std::count_if(members.members.begin(), members.members.end(),
                    [](const auto& member) { return member.voter; }));
}

TEST(MemberPlanTest, ADiscoveredKeeperBecomesALearnerAndThenAVoter) {
  GroupView view = Group(3);
  Discover(view, 4, 44);
  const auto learning = NextMembers(view, kNow);
  ASSERT_TRUE(learning);
  EXPECT_EQ(learning->members.size(), 4U);
  EXPECT_EQ(Voters(*learning), 3U);
  view.members = *learning;
  EXPECT_FALSE(NextMembers(view, kNow)) << "the learner has not caught up";
  view.peers[wire::ReplicaId(44)].match = 50;
  view.peers[wire::ReplicaId(44)].last_reply = kNow;
  const auto voting = NextMembers(view, kNow);
  ASSERT_TRUE(voting);
  EXPECT_EQ(Voters(*voting), 4U);
}

TEST(MemberPlanTest, AKeeperOfAnotherGroupIsNotAdded) {
  GroupView view = Group(3);
  Discover(view, 4, 44);
  view.hellos[At(4)].group = wire::GroupId(9);
  EXPECT_FALSE(NextMembers(view, kNow));
}

// Two of five voters do not answer for a while. The group must not shrink to
// three voters, where a change is committed with two copies on disk instead of
// three.
TEST(MemberPlanTest, UnreachableVotersStayMembers) {
  GroupView view = Group(5);
  MakeUnreachable(view, 4);
  MakeUnreachable(view, 5);
  EXPECT_FALSE(NextMembers(view, kNow));
}

TEST(MemberPlanTest, ACaughtUpLearnerReplacesADeadVoter) {
  GroupView view = Group(5);
  MakeUnreachable(view, 5);
  Discover(view, 6, 66);
  view.members = *NextMembers(view, kNow);
  view.peers[wire::ReplicaId(66)].match = 50;
  view.peers[wire::ReplicaId(66)].last_reply = kNow;
  const auto dropped = NextMembers(view, kNow);
  ASSERT_TRUE(dropped);
  EXPECT_EQ(Voters(*dropped), 4U);
  view.members = *dropped;
  EXPECT_EQ(Voters(*NextMembers(view, kNow)), 5U);
}

TEST(MemberPlanTest, ADeadVoterIsRemovedIfEnoughVotersRemain) {
  GroupView view = Group(6);
  EXPECT_FALSE(NextMembers(view, kNow));
  MakeUnreachable(view, 2);
  ASSERT_TRUE(NextMembers(view, kNow));
  EXPECT_EQ(Voters(*NextMembers(view, kNow)), 5U);
}

// A keeper that is being stopped must not count towards the majority after its
// process has ended: two disks lost in that time left a group of six without a
// majority for good.
TEST(MemberPlanTest, ALeavingVoterIsRemovedWhileItStillAnswers) {
  GroupView view = Group(6);
  const wire::ReplicaId leaving(6);
  view.leaving.insert(leaving);
  EXPECT_EQ(ResultOfLeaving(view, leaving), wire::LeaveResult::kRetry);
  const auto remaining = NextMembers(view, kNow);
  ASSERT_TRUE(remaining);
  EXPECT_EQ(Voters(*remaining), 5U);
  view.members = *remaining;
  EXPECT_EQ(ResultOfLeaving(view, leaving), wire::LeaveResult::kLeft);
}

// The removal of leaving keepers must not take the group below the number of
// voters that bears the loss of two disks, also when all are being stopped.
TEST(MemberPlanTest, ALeavingVoterStaysIfTooFewVotersWouldRemain) {
  GroupView view = Group(6);
  for (uint64_t replica = 1; replica <= 6; ++replica) {
    view.leaving.insert(wire::ReplicaId(replica));
  }
  view.members = *NextMembers(view, kNow);
  EXPECT_EQ(Voters(view.members), 5U);
  EXPECT_FALSE(NextMembers(view, kNow));
  EXPECT_EQ(ResultOfLeaving(view, view.members.members.front().replica),
            wire::LeaveResult::kStays);
}

TEST(MemberPlanTest, ALeavingKeeperIsNeitherAddedNorPromoted) {
  GroupView view = Group(5);
  Discover(view, 6, 66);
  view.leaving.insert(wire::ReplicaId(66));
  EXPECT_FALSE(NextMembers(view, kNow));
  view.leaving.clear();
  view.members = *NextMembers(view, kNow);
  view.peers[wire::ReplicaId(66)].match = 50;
  view.peers[wire::ReplicaId(66)].last_reply = kNow;
  view.leaving.insert(wire::ReplicaId(66));
  EXPECT_FALSE(NextMembers(view, kNow));
}

// A voter waits for the learner that is about to replace it.
TEST(MemberPlanTest, ALeavingVoterIsReplacedByALearnerThatCatchesUp) {
  GroupView view = Group(5);
  Discover(view, 6, 66);
  view.members = *NextMembers(view, kNow);
  view.leaving.insert(wire::ReplicaId(5));
  EXPECT_EQ(ResultOfLeaving(view, wire::ReplicaId(5)),
            wire::LeaveResult::kRetry);
  EXPECT_FALSE(NextMembers(view, kNow)) << "the learner has not caught up";
  view.peers[wire::ReplicaId(66)].match = 50;
  view.peers[wire::ReplicaId(66)].last_reply = kNow;
  view.members = *NextMembers(view, kNow);
  EXPECT_EQ(Voters(view.members), 6U);
  view.members = *NextMembers(view, kNow);
  EXPECT_EQ(Voters(view.members), 5U);
  EXPECT_EQ(ResultOfLeaving(view, wire::ReplicaId(5)),
            wire::LeaveResult::kLeft);
}

// A leader that has just been elected counts the silence of a member from its
// own election. A member that announced its departure must not keep its vote
// for that long.
TEST(MemberPlanTest, AVoterThatAnnouncedItsDepartureIsReplacedAtOnce) {
  GroupView view = Group(5);
  view.hellos.erase(At(5));
  view.departed.insert(At(5));
  EXPECT_FALSE(NextMembers(view, kNow)) << "nothing replaces it yet";
  Discover(view, 6, 66);
  view.members = *NextMembers(view, kNow);
  view.peers[wire::ReplicaId(66)].match = 50;
  view.peers[wire::ReplicaId(66)].last_reply = kNow;
  view.members = *NextMembers(view, kNow);
  EXPECT_EQ(Voters(view.members), 4U);
  view.members = *NextMembers(view, kNow);
  EXPECT_EQ(Voters(view.members), 5U);
}

TEST(MemberPlanTest, OnlyKeepersOfTheFirstStartMayFoundAGroup) {
  wire::KeeperHello self{wire::GroupId(), wire::ReplicaId(1), NodeId("k1"),
                         At(1), true};
  std::map<world::Endpoint, wire::KeeperHello> others = {
      {At(2),
       {wire::GroupId(), wire::ReplicaId(2), NodeId("k2"), At(2), true}}};
  EXPECT_TRUE(FoundingMembers(self, {At(1), At(2)}, others));
  others[At(2)].may_found = false;
  EXPECT_FALSE(FoundingMembers(self, {At(1), At(2)}, others));
  others[At(2)].may_found = true;
  self.may_found = false;
  EXPECT_FALSE(FoundingMembers(self, {At(1), At(2)}, others));
  // A keeper that is not in the first set must not found a group either.
  self = {wire::GroupId(), wire::ReplicaId(3), NodeId("k0"), At(0), true};
  EXPECT_FALSE(FoundingMembers(self, {At(1), At(2)}, others));
}

StageConfig Stage(const std::string& change, uint64_t base) {
  StageConfig stage;
  stage.change = ChangeId(change);
  stage.base = Revision(base);
  stage.text = "text of " + change;
  stage.activate_immediately = true;
  stage.allow_retry_after_refusal = true;
  return stage;
}

TEST(ConfigHistoryTest, AnImmediateChangeIsActiveOnceCommitted) {
  ConfigHistory ledger;
  EXPECT_EQ(ledger.Apply(Stage("a", 0)).result, ChangeResult::kActive);
  EXPECT_EQ(ledger.active()->text, "text of a");
  EXPECT_EQ(ledger.Apply(Stage("b", 1)).result, ChangeResult::kActive);
  EXPECT_EQ(ledger.Apply(Stage("a", 0)).result, ChangeResult::kActive)
      << "a repeated change must get its first answer";
  EXPECT_EQ(ledger.active()->text, "text of b");
}

TEST(ConfigHistoryTest, OneOfTwoChangesToABaseIsRefusedAndMayBeRetried) {
  ConfigHistory ledger;
  ledger.Apply(Stage("a", 0));
  EXPECT_EQ(ledger.Apply(Stage("b", 1)).result, ChangeResult::kActive);
  EXPECT_EQ(ledger.Apply(Stage("c", 1)).result, ChangeResult::kConflict);
  EXPECT_EQ(ledger.AnswerTo(ChangeId("c")).result, ChangeResult::kUnknown);
  EXPECT_EQ(ledger.Apply(Stage("c", 2)).result, ChangeResult::kActive);
}

TEST(ConfigHistoryTest, OldTextsAreDroppedToLimitTheirTotalSize) {
  ConfigHistory ledger;
  constexpr uint64_t kRevisions = 8;
  for (uint64_t i = 0; i < kRevisions; ++i) {
    StageConfig stage = Stage(std::to_string(i), i);
    stage.text.assign(1 << 20, static_cast<char>('a' + i));
    ledger.Apply(stage);
  }
  size_t bytes = 0;
  for (const ConfigRecord& record : ledger.history()) {
    bytes += record.text.size();
  }
  EXPECT_LE(bytes, size_t{3} << 20);
  EXPECT_FALSE(ledger.active()->text.empty());
}

// Guards against keepers that run out of memory by changes to a large file: the
// texts of old revisions were dropped, but their memory was kept.
TEST(ConfigHistoryTest, DroppedTextsGiveTheirMemoryBack) {
  constexpr uint64_t kRevisions = 40;
  constexpr size_t kMaxBytes = 4 << 20;
  ConfigHistory ledger;
  for (uint64_t i = 0; i < kRevisions; ++i) {
    StageConfig stage = Stage(std::to_string(i), i);
    stage.text.assign(1 << 20, static_cast<char>('a' + i % 26));
    ledger.Apply(stage);
  }
  size_t allocated = 0;
  for (const ConfigRecord& record : ledger.history()) {
    allocated += record.text.capacity();
  }
  EXPECT_LE(allocated, kMaxBytes);
}

}  // namespace
}  // namespace ibisvalve::control
