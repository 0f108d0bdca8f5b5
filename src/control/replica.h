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

/// State of a replica that must persist across restarts, besides its log.
struct HardState {
  uint64_t term = 0;
  wire::ReplicaId vote;  // candidate voted for in `term`; 0: none

  auto operator<=>(const HardState&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(term, vote);
  }
};

/// State of a replica recovered from disk.
struct RecoveredLog {
  HardState hard_state;
  SnapshotMeta snapshot;
  std::vector<wire::LogEntry> entries;  // those after the snapshot
};

struct ReplicaSettings {
  wire::ReplicaId self;
  Duration heartbeat_interval = std::chrono::milliseconds(100);
  // Minimum; each timeout is drawn from one to two times this value.
  Duration election_timeout = std::chrono::milliseconds(800);
  uint64_t seed = 1;  // for the random timeouts

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

/// Actions that the owner of a replica must perform, in the order of the
/// members.
struct ReplicaActions {
  // Messages that may be sent before the sync.
  std::vector<ReplicaMessage> messages_before_sync;
  std::optional<HardState> hard_state;  // to be written
  // Replaces the log on disk.
  std::optional<SnapshotToInstall> install;
  // To be written; an entry replaces those with its index or a higher one.
  std::vector<wire::LogEntry> entries;
  std::vector<ReplicaMessage> messages_after_sync;
  std::vector<wire::LogEntry> committed;  // to be applied in order
  std::vector<uint64_t> confirmed_reads;  // tokens
  std::vector<uint64_t> failed_reads;     // tokens; leadership was lost
  // Peers to which the owner must send a snapshot with SendSnapshot.
  std::vector<wire::ReplicaId> need_snapshot;

  bool empty() const;
};

enum class ReplicaRole : uint8_t {
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader
};

/// Replication progress of another replica, as tracked by the leader.
struct PeerProgress {
  uint64_t match = 0;   // last entry known to be stored there
  uint64_t next = 1;    // next entry to send
  uint64_t round = 0;   // last heartbeat round that it answered
  bool probing = true;  // no entries are sent before the first reply
  Time last_reply{};
  Time next_snapshot_at{};      // no further snapshot is sent before this time
  uint64_t snapshot_round = 0;  // heartbeat round of the last snapshot
};

/// One replica of a Raft log: leader election with pre-vote and check-quorum,
/// log replication, linearizable reads confirmed by a heartbeat round,
/// learners, and single-member membership changes. Performs no I/O: the owner
/// performs the actions that TakeActions returns, and calls OnSynced after the
/// sync.
class Replica {
 public:
  Replica(const ReplicaSettings& settings,
          const RecoveredLog& recovered,
          Time now);

  /// Advances the timers. To be called every few milliseconds.
  void Tick(Time now);
  /// Handles a message from another replica. Ignores messages to other
  /// replicas. Throws WireError if it is malformed or conflicts with committed
  /// entries.
  void Receive(const ReplicaMessage& message, Time now);
  /// Writes the first entry of a new group. Has no effect unless the log is
  /// empty.
  void FoundNewGroup(const wire::KeeperMembers& members, Time now);
  /// Appends a command. Returns its index, or nothing if this replica is not
  /// the leader.
  std::optional<uint64_t> Propose(std::string command);
  /// Appends a membership change. The new members may differ from the current
  /// ones by one voter or by any learners. Returns the index of the entry, or
  /// nothing if this replica is not the leader, has not committed an entry of
  /// its term, or has an uncommitted membership change.
  std::optional<uint64_t> ProposeMembers(const wire::KeeperMembers& members);
  /// Requests a read of the present state. Returns a token that TakeActions
  /// later returns in `confirmed_reads` or `failed_reads`, or nothing if this
  /// replica is not the leader.
  std::optional<uint64_t> RequestRead();
  /// Sends `data`, the serialized state after entry `index`, to replica `to`.
  void SendSnapshot(wire::ReplicaId to,
                    uint64_t index,
                    std::string data,
                    Time now);
  /// Drops the entries up to `index`, which must be applied and included in a
  /// snapshot on disk.
  void Compact(uint64_t index);
  /// Returns the actions to perform since the last call.
  ReplicaActions TakeActions(Time now);
  /// Records that everything the last TakeActions returned for writing
  /// is synced.
  void OnSynced();

  bool leading() const { return role_ == ReplicaRole::kLeader; }
  ReplicaRole role() const { return role_; }
  /// Returns the leader of the current term, or 0 if none is known.
  wire::ReplicaId leader() const { return leader_; }
  /// Returns whether this replica leads and has committed an entry of its term.
  bool committed_in_term() const { return leading() && commit_ >= term_start_; }
  uint64_t term() const { return hard_state_.term; }
  uint64_t commit() const { return commit_; }
  const ReplicaLog& log() const { return log_; }
  const wire::KeeperMembers& members() const { return log_.members(); }
  /// Returns the progress of the other members; empty if this replica is not
  /// the leader.
  const std::map<wire::ReplicaId, PeerProgress>& peers() const {
    return peers_;
  }

 private:
  struct PendingRead {
    uint64_t token;
    uint64_t round;  // heartbeat round; 0: not assigned yet
    uint64_t index;  // must be committed first
  };

  void Handle(const wire::VoteRequest& request, Time now);
  void Handle(const wire::VoteReply& reply, Time now);
  void Handle(const wire::AppendRequest& request, Time now);
  void Handle(const wire::AppendReply& reply, Time now);
  void Handle(const wire::InstallSnapshot& snapshot, Time now);

  bool IsVoter(wire::ReplicaId id) const;
  size_t VoterCount() const;
  bool HasMajority(const std::set<wire::ReplicaId>& ids) const;
  uint64_t MajorityValue(std::vector<uint64_t> values) const;
  bool IsUpToDate(const wire::VoteRequest& request) const;
  void SetTerm(uint64_t term);
  void BecomeFollower(uint64_t term, wire::ReplicaId leader, Time now);
  void Campaign(bool pre, Time now);
  void BecomeLeader(Time now);
  void ResetElectionTimer(Time now);
  uint64_t Append(wire::EntryKind kind, std::string data);
  bool TryAppend(const wire::AppendRequest& request);
  uint64_t ConflictIndex(uint64_t prev_index) const;
  void RefreshPeers(Time now);
  void SendAppends(wire::ReplicaId id, PeerProgress& peer, Time now);
  bool MaySendMore(const PeerProgress& peer) const;
  void SendOneAppend(wire::ReplicaId id, PeerProgress& peer, bool entries);
  void Broadcast(Time now);
  void AdvanceCommit();
  void ConfirmReads();
  void FailReads();
  void CheckQuorum(Time now);
  void Reply(const wire::AppendRequest& request, bool accepted, uint64_t match);

  ReplicaSettings settings_;
  std::mt19937_64 random_engine_;
  HardState hard_state_;
  ReplicaLog log_;
  uint64_t commit_ = 0;
  uint64_t delivered_ = 0;  // last entry returned in `committed`
  ReplicaRole role_ = ReplicaRole::kFollower;
  wire::ReplicaId leader_;
  Time last_leader_contact_{};
  bool has_leader_contact_ = false;
  Time election_deadline_{};
  Time heartbeat_deadline_{};
  std::set<wire::ReplicaId> votes_;
  std::map<wire::ReplicaId, PeerProgress> peers_;
  uint64_t term_start_ = 0;  // index of the first entry of this leader's term
  uint64_t round_ = 0;
  uint64_t next_token_ = 1;
  std::vector<PendingRead> reads_;
  bool broadcast_pending_ = false;
  bool hard_state_changed_ = false;
  ReplicaActions actions_;
};

}  // namespace ibisvalve::control
