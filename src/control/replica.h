#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "control/replica_log.h"
#include "wire/wire.h"

namespace ibisvalve::control {

/// What a replica must not forget between two runs, beside its log.
struct HardState {
  uint64_t term = 0;
  wire::ReplicaId vote;  // given in that term; 0: none

  auto operator<=>(const HardState&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(term, vote);
  }
};

/// What a replica finds on its disk when it starts.
struct RecoveredLog {
  HardState hard;
  SnapshotMeta snapshot;
  std::vector<wire::LogEntry> entries;  // after the snapshot
};

/// Settings of a replica.
struct ReplicaSettings {
  wire::ReplicaId self;
  Duration heartbeat = std::chrono::milliseconds(100);
  Duration election = std::chrono::milliseconds(800);  // shortest time-out
  uint64_t seed = 1;                                   // of random time-outs

  auto operator<=>(const ReplicaSettings&) const = default;
};

using ReplicaMessage = std::variant<wire::VoteRequest,
                                    wire::VoteReply,
                                    wire::AppendRequest,
                                    wire::AppendReply,
                                    wire::InstallSnapshot>;

/// A snapshot that replaces a replica's log and state.
struct SnapshotToInstall {
  SnapshotMeta meta;
  std::string data;
};

/// What the owner of a replica must do, in the order of the members.
struct ReplicaActions {
  std::vector<ReplicaMessage> early;  // may go out before the disk is synced
  std::optional<HardState> hard;      // to be written
  std::optional<SnapshotToInstall> install;  // written in place of the log
  std::vector<wire::LogEntry> entries;       // written; drop what they overlap
  std::vector<ReplicaMessage> messages;      // sent once all that is synced
  std::vector<wire::LogEntry> committed;     // applied in order
  std::vector<uint64_t> reads;               // tokens: answered from here on
  std::vector<uint64_t> failed_reads;        // tokens: leadership was lost
  std::vector<wire::ReplicaId> behind;       // need OfferSnapshot

  bool empty() const;
};

enum class ReplicaRole : uint8_t {
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader
};

/// What the leader knows of another replica.
struct PeerProgress {
  uint64_t match = 0;
  uint64_t next = 1;
  uint64_t round = 0;  // last heartbeat round that it answered
  bool probing = true;
  Time heard{};                 // last answer
  Time snapshot_until{};        // no other snapshot before
  uint64_t snapshot_round = 0;  // when the last one was sent
};

/// One replica of a replicated log: leader election with pre-vote and checked
/// quorum, replication, reads confirmed by a majority, learners, changes of one
/// member at a time. Pure: the owner writes, syncs, sends and applies what
/// Take returns, then calls Synced.
class Replica {
 public:
  Replica(const ReplicaSettings& settings,
          const RecoveredLog& recovered,
          Time now);

  /// Lets time pass; to be called every few milliseconds.
  void Tick(Time now);
  /// Takes in a message from another replica.
  void Receive(const ReplicaMessage& message, Time now);
  /// Writes the first entry of a new group. Only for an empty log.
  void Found(const wire::KeeperMembers& members, Time now);
  /// Appends a command; returns its index, or nothing when not the leader.
  std::optional<uint64_t> Propose(std::string command);
  /// Replaces the members; they may differ by one voter or by learners.
  /// Returns its index, or nothing when not the leader or when another change
  /// is under way.
  std::optional<uint64_t> ProposeMembers(const wire::KeeperMembers& members);
  /// Asks for a read as of now. Returns a token that comes back in reads or
  /// failed_reads, or nothing when not the leader.
  std::optional<uint64_t> RequestRead();
  /// Sends a snapshot of the state after entry `index` to `to`.
  void OfferSnapshot(wire::ReplicaId to,
                     uint64_t index,
                     std::string data,
                     Time now);
  /// Drops entries up to `index`, which must be applied and snapshotted.
  void Compact(uint64_t index);
  /// Returns what there is to do since the last call.
  ReplicaActions Take(Time now);
  /// All that the last Take asked to write is synced.
  void Synced();

  bool leading() const { return role_ == ReplicaRole::kLeader; }
  ReplicaRole role() const { return role_; }
  /// Returns the leader of the term, or 0 when none is known.
  wire::ReplicaId leader() const { return leader_; }
  /// Returns whether the leader has committed an entry of its own term.
  bool settled() const { return leading() && commit_ >= term_start_; }
  uint64_t term() const { return hard_.term; }
  uint64_t commit() const { return commit_; }
  const ReplicaLog& log() const { return log_; }
  const wire::KeeperMembers& members() const { return log_.members(); }
  /// Returns what this leader knows of the others; empty when not the leader.
  const std::map<wire::ReplicaId, PeerProgress>& peers() const {
    return peers_;
  }

 private:
  struct PendingRead {
    uint64_t token;
    uint64_t round;  // 0: not assigned yet
    uint64_t index;
  };

  void On(const wire::VoteRequest& request, Time now);
  void On(const wire::VoteReply& reply, Time now);
  void On(const wire::AppendRequest& request, Time now);
  void On(const wire::AppendReply& reply, Time now);
  void On(const wire::InstallSnapshot& snapshot, Time now);

  bool IsVoter(wire::ReplicaId id) const;
  size_t VoterCount() const;
  bool HasMajority(const std::set<wire::ReplicaId>& ids) const;
  uint64_t MajorityOf(std::vector<uint64_t> values) const;
  bool UpToDate(const wire::VoteRequest& request) const;
  void SetTerm(uint64_t term);
  void BecomeFollower(uint64_t term, wire::ReplicaId leader, Time now);
  void Campaign(bool pre, Time now);
  void BecomeLeader(Time now);
  void ResetElection(Time now);
  uint64_t Append(wire::EntryKind kind, std::string data);
  bool AppendFrom(const wire::AppendRequest& request);
  uint64_t ConflictHint(uint64_t prev_index) const;
  void RefreshPeers(Time now);
  void SendAppends(wire::ReplicaId id, PeerProgress& peer, Time now);
  void SendOneAppend(wire::ReplicaId id, PeerProgress& peer, bool entries);
  void Broadcast(Time now);
  void AdvanceCommit();
  void ConfirmReads();
  void FailReads();
  void CheckQuorum(Time now);
  void Reply(const wire::AppendRequest& request, bool accepted, uint64_t match);

  ReplicaSettings settings_;
  std::mt19937_64 random_;
  HardState hard_;
  ReplicaLog log_;
  uint64_t commit_ = 0;
  uint64_t handed_ = 0;  // last entry given out in committed
  ReplicaRole role_ = ReplicaRole::kFollower;
  wire::ReplicaId leader_;
  Time heard_leader_{};
  bool ever_heard_ = false;
  Time election_at_{};
  Time heartbeat_at_{};
  std::set<wire::ReplicaId> votes_;
  std::map<wire::ReplicaId, PeerProgress> peers_;
  uint64_t term_start_ = 0;  // index of this leader's first entry
  uint64_t round_ = 0;
  uint64_t next_token_ = 1;
  std::vector<PendingRead> reads_;
  bool broadcast_ = false;
  bool hard_changed_ = false;
  ReplicaActions actions_;
};

}  // namespace ibisvalve::control
