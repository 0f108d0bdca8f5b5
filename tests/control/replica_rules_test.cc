#include <gmock/gmock.h>

#include "control/replica.h"

namespace ibisvalve::control {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

const wire::ReplicaId kSelf(1);
const wire::ReplicaId kSecond(2);
const wire::ReplicaId kThird(3);

// Runs one replica of a group of three. The tests send the messages of the
// other two.
class ReplicaRulesTest : public testing::Test {
 protected:
  static wire::KeeperMembers Members() {
    wire::KeeperMembers members{wire::GroupId(1), {}};
    for (const wire::ReplicaId id : {kSelf, kSecond, kThird}) {
      members.members.push_back(
          {id, NodeId(std::to_string(id.value)), {}, true});
    }
    return members;
  }

  // Returns a log whose entry 1 founds the group and whose other entries are
  // commands of the given terms.
  static RecoveredLog LogOf(const std::vector<uint64_t>& terms) {
    RecoveredLog log;
    log.hard_state.term = terms.empty() ? 1 : terms.back();
    log.entries.push_back(
        {1, 1, wire::EntryKind::kMembers, wire::Encode(Members())});
    for (const uint64_t term : terms) {
      log.entries.push_back(
          {log.entries.size() + 1, term, wire::EntryKind::kCommand, "command"});
    }
    return log;
  }

  void Start(const RecoveredLog& log) {
    replica_ = std::make_unique<Replica>(ReplicaSettings{kSelf}, log, now_);
  }

  ReplicaActions TakeActions() {
    ReplicaActions actions = replica_->TakeActions(now_);
    replica_->OnSynced();
    return actions;
  }

  void BecomeLeader() {
    now_ += std::chrono::seconds(2);
    replica_->Tick(now_);
    const uint64_t term = replica_->term() + 1;
    replica_->Receive(wire::VoteReply{kSecond, kSelf, term, true, true}, now_);
    replica_->Receive(wire::VoteReply{kSecond, kSelf, term, true, false}, now_);
    ASSERT_TRUE(replica_->leading());
    TakeActions();
  }

  void Answer(wire::ReplicaId from, uint64_t match, uint64_t round) {
    replica_->Receive(
        wire::AppendReply{from, kSelf, replica_->term(), true, match, round},
        now_);
  }

  wire::VoteRequest VoteFor(wire::ReplicaId from, uint64_t term) {
    return {from, kSelf, term, 100, term - 1, false};
  }

  bool Granted(const wire::VoteRequest& request) {
    replica_->Receive(request, now_);
    return std::get<wire::VoteReply>(TakeActions().messages_after_sync.back())
        .granted;
  }

  Time now_{std::chrono::seconds(10)};
  std::unique_ptr<Replica> replica_;
};

TEST_F(ReplicaRulesTest, PersistsAVoteBeforeGrantingIt) {
  Start(LogOf({}));
  replica_->Receive(VoteFor(kSecond, 2), now_);
  const ReplicaActions actions = TakeActions();
  ASSERT_TRUE(actions.hard_state.has_value());
  EXPECT_EQ(*actions.hard_state, (HardState{2, kSecond}));
  EXPECT_THAT(actions.messages_before_sync, IsEmpty());
  // After a restart the replica must not vote for another candidate of the
  // term.
  RecoveredLog log = LogOf({});
  log.hard_state = *actions.hard_state;
  Start(log);
  EXPECT_FALSE(Granted(VoteFor(kThird, 2)));
  EXPECT_TRUE(Granted(VoteFor(kSecond, 2)));
}

TEST_F(ReplicaRulesTest, RejectsVoteRequestsOfCandidatesWithOutdatedLogs) {
  Start(LogOf({2, 4}));
  EXPECT_FALSE(Granted({kSecond, kSelf, 9, 50, 3, false}));
  EXPECT_FALSE(Granted({kSecond, kSelf, 10, 2, 4, false}));
  EXPECT_TRUE(Granted({kSecond, kSelf, 11, 3, 4, false}));
}

TEST_F(ReplicaRulesTest, DoesNotVoteWithAnEmptyLog) {
  Start(RecoveredLog());
  EXPECT_FALSE(Granted(VoteFor(kSecond, 2)));
}

// A keeper that was suspended while its group was founded first heard from the
// leader, whose term it took, and then ended at every start.
TEST_F(ReplicaRulesTest, IsFoundedAfterALeaderHasRaisedItsTerm) {
  const wire::AppendRequest heartbeat{kSecond, kSelf, 2, 1, 1, 1, 0, {}};
  RecoveredLog disk;
  Start(disk);
  replica_->Receive(heartbeat, now_);
  disk.hard_state = TakeActions().hard_state.value_or(HardState());
  EXPECT_EQ(disk.hard_state.term, 2U);
  for (const bool restarts : {false, true}) {
    if (restarts) {
      Start(disk);
    }
    replica_->FoundNewGroup(Members(), now_);
    EXPECT_EQ(replica_->term(), 2U);
    TakeActions();
    replica_->Receive(heartbeat, now_);
    EXPECT_EQ(TakeActions().committed.size(), 1U);
    EXPECT_FALSE(Granted({kThird, kSelf, 1, 1, 1, false}))
        << "a vote of an earlier term";
  }
}

TEST_F(ReplicaRulesTest, RejectsVoteRequestsWhileTheLeaderIsAlive) {
  Start(LogOf({}));
  replica_->Receive(wire::AppendRequest{kSecond, kSelf, 2, 1, 1, 1, 0, {}},
                    now_);
  EXPECT_FALSE(Granted(VoteFor(kThird, 3)));
  now_ += std::chrono::milliseconds(900);
  EXPECT_TRUE(Granted(VoteFor(kThird, 3)));
}

// An entry of an earlier term that is stored on a majority may still be
// overwritten (figure 8 of the Raft paper), so it must not be committed by
// counting replicas.
TEST_F(ReplicaRulesTest, CommitsEarlierTermsOnlyWithAnEntryOfItsOwnTerm) {
  Start(LogOf({2}));
  BecomeLeader();  // the first entry of its term has index 3
  Answer(kSecond, 2, 0);
  EXPECT_THAT(TakeActions().committed, IsEmpty());
  Answer(kSecond, 3, 0);
  EXPECT_EQ(TakeActions().committed.size(), 3U);
}

// Guards against a leader that runs out of memory by queueing large entries to
// a peer that does not acknowledge them.
TEST_F(ReplicaRulesTest, LimitsTheBytesThatAPeerHasNotAcknowledged) {
  constexpr size_t kEntryBytes = 1 << 20;
  constexpr size_t kMaxQueuedBytes = 16 << 20;
  Start(LogOf({1}));
  BecomeLeader();
  Answer(kSecond, replica_->log().last_index(), 1);
  TakeActions();
  size_t sent = 0;
  const auto count = [&](const std::vector<ReplicaMessage>& messages) {
    for (const ReplicaMessage& message : messages) {
      const auto* append = std::get_if<wire::AppendRequest>(&message);
      if (append != nullptr && append->to == kSecond) {
        for (const wire::LogEntry& entry : append->entries) {
          sent += entry.data.size();
        }
      }
    }
  };
  for (int i = 0; i < 40; ++i) {
    replica_->Propose(std::string(kEntryBytes, 'x'));
    const ReplicaActions actions = TakeActions();
    count(actions.messages_before_sync);
    count(actions.messages_after_sync);
  }
  EXPECT_GT(sent, kEntryBytes);
  EXPECT_LT(sent, kMaxQueuedBytes);
  // The rest follows once the peer has caught up.
  const size_t before = sent;
  Answer(kSecond, replica_->log().last_index() - 20, 2);
  count(TakeActions().messages_before_sync);
  EXPECT_GT(sent, before);
}

TEST_F(ReplicaRulesTest, ConfirmsAReadOnlyByALaterHeartbeatRound) {
  Start(LogOf({}));
  BecomeLeader();
  const uint64_t before = std::get<wire::AppendRequest>([&] {
                            replica_->Propose("command");
                            return TakeActions().messages_before_sync.front();
                          }())
                              .round;
  Answer(kSecond, 3, before);
  TakeActions();
  const auto token = replica_->RequestRead();
  const ReplicaActions pending = TakeActions();
  EXPECT_THAT(pending.confirmed_reads, IsEmpty());
  const uint64_t round =
      std::get<wire::AppendRequest>(pending.messages_before_sync.front()).round;
  EXPECT_GT(round, before);
  Answer(kSecond, 3, round - 1);
  EXPECT_THAT(TakeActions().confirmed_reads, IsEmpty());
  Answer(kSecond, 3, round);
  EXPECT_THAT(TakeActions().confirmed_reads, ElementsAre(*token));
}

TEST_F(ReplicaRulesTest, ALeaderWithoutAQuorumStepsDownAndFailsItsReads) {
  Start(LogOf({}));
  BecomeLeader();
  Answer(kSecond, 2, 0);
  TakeActions();
  const auto token = replica_->RequestRead();
  TakeActions();
  now_ += std::chrono::milliseconds(801);
  replica_->Tick(now_);
  EXPECT_FALSE(replica_->leading());
  EXPECT_THAT(TakeActions().failed_reads, ElementsAre(*token));
  EXPECT_FALSE(replica_->Propose("command").has_value());
}

TEST_F(ReplicaRulesTest, ADelayedSnapshotDropsNoLaterEntries) {
  Start(LogOf({2, 2, 2}));
  replica_->Receive(
      wire::InstallSnapshot{kSecond, kSelf, 2, 3, 2, Members(), "state"}, now_);
  const ReplicaActions actions = TakeActions();
  EXPECT_FALSE(actions.install.has_value());
  EXPECT_EQ(replica_->log().last_index(), 4U);
  EXPECT_EQ(actions.committed.size(), 3U);
}

TEST_F(ReplicaRulesTest,
       AllowsOneMembershipChangeAtATimeAfterCommittingInItsTerm) {
  Start(LogOf({}));
  BecomeLeader();
  wire::KeeperMembers next = Members();
  next.members.pop_back();
  EXPECT_FALSE(replica_->ProposeMembers(next).has_value());
  Answer(kSecond, 2, 0);
  TakeActions();
  EXPECT_TRUE(replica_->ProposeMembers(next).has_value());
  EXPECT_FALSE(replica_->ProposeMembers(Members()).has_value());
}

TEST_F(ReplicaRulesTest, LearnersDoNotCountTowardsAMajority) {
  RecoveredLog log = LogOf({});
  wire::KeeperMembers members = Members();
  members.members.push_back({wire::ReplicaId(4), NodeId("4"), {}, false});
  log.entries.push_back(
      {2, 1, wire::EntryKind::kMembers, wire::Encode(members)});
  Start(log);
  BecomeLeader();
  Answer(wire::ReplicaId(4), 3, 9);
  EXPECT_THAT(TakeActions().committed, IsEmpty());
  Answer(kThird, 3, 9);
  EXPECT_EQ(TakeActions().committed.size(), 3U);
}

// The only voter becomes leader at once. Its messages to learners must wait
// until its new term is on disk.
TEST_F(ReplicaRulesTest, SendsNothingInATermThatIsNotOnDisk) {
  RecoveredLog log = LogOf({});
  wire::KeeperMembers members = Members();
  members.members[1].voter = members.members[2].voter = false;
  log.entries.push_back(
      {2, 1, wire::EntryKind::kMembers, wire::Encode(members)});
  Start(log);
  replica_->Tick(now_);
  ASSERT_TRUE(replica_->leading());
  const ReplicaActions actions = replica_->TakeActions(now_);
  EXPECT_TRUE(actions.hard_state.has_value());
  EXPECT_THAT(actions.messages_before_sync, IsEmpty());
  EXPECT_FALSE(actions.messages_after_sync.empty());
}

}  // namespace
}  // namespace ibisvalve::control
