#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "control/log_store.h"
#include "control/replica.h"
#include "control/state_machine.h"
#include "net/net.h"

namespace ibisvalve::control {

/// Runs a Replica on an event loop: writes and syncs its log, sends its
/// messages, applies committed entries, and completes proposals and reads. All
/// proposals and messages of one loop iteration share one sync. While the disk
/// has no room for the log, the replica pauses like one whose disk stalls: it
/// receives and sends nothing, and neither proposes nor reads. All methods must
/// be called on the loop's thread.
class ReplicaDriver {
 public:
  struct Handlers {
    /// Sends a message to another replica. The message may be lost.
    std::function<void(const ReplicaMessage& message)> send;
    /// Called after an entry has been applied, or with null after a snapshot
    /// has been installed.
    std::function<void(const wire::LogEntry* entry)> on_applied;
    /// Called after the role, the term or the leader has changed.
    std::function<void()> on_role_change;
    /// Called when the replica pauses because the disk is full.
    std::function<void()> on_paused;
  };
  /// Called with the result of a command. Called with nothing if this replica
  /// is not the leader or lost leadership, in which case the command may or may
  /// not be committed.
  using ProposalCallback =
      std::function<void(const std::optional<CommandResult>&)>;

  /// Data directory of a replica, and whether the replica may found a group if
  /// the directory is empty.
  struct DataDirectory {
    std::string path;
    bool may_found = true;
  };

  /// Recovers the replica from `directory`. Throws the errors of LogStore.
  ReplicaDriver(net::EventLoop& loop,
                const DataDirectory& directory,
                Duration heartbeat_interval,
                Duration election_timeout,
                Handlers handlers);
  ~ReplicaDriver() { *alive_ = false; }
  ReplicaDriver(const ReplicaDriver&) = delete;
  ReplicaDriver& operator=(const ReplicaDriver&) = delete;

  /// Handles a message from another replica. Throws WireError if it is
  /// malformed, or conflicts with committed entries.
  void Receive(const ReplicaMessage& message);
  /// Founds a group with these members. Has no effect unless the log is empty.
  void FoundNewGroup(const wire::KeeperMembers& members);
  /// Proposes a command. `done` is called once, after this method returns.
  void Propose(const Command& command, ProposalCallback done);
  /// Proposes a membership change. Returns false if the replica cannot propose
  /// one now.
  bool ProposeMembers(const wire::KeeperMembers& members);
  /// Calls `done(true)` once a majority has confirmed that the state includes
  /// everything committed before this call, or `done(false)` if this replica is
  /// not the leader or loses leadership. `done` is called after this method
  /// returns.
  void Read(std::function<void(bool)> done);

  wire::ReplicaId self() const { return store_.replica(); }
  const Replica& replica() const { return *replica_; }
  const StateMachine& state() const { return state_; }
  const LogStore& store() const { return store_; }
  /// Returns whether the replica waits until the disk has room again.
  bool paused() const { return unwritten_.has_value(); }
  /// Returns the log clock in microseconds. It continues from the last applied
  /// command with the monotonic clock of the leader and stops while there is no
  /// leader, so a wall clock that jumps cannot expire a claim early.
  uint64_t LogClock() const;

 private:
  struct Proposal {
    uint64_t term;
    ProposalCallback done;
  };

  void ReadSnapshot(const wire::InstallSnapshot& snapshot);
  void ScheduleFlush();
  void Flush();
  void PerformActions(ReplicaActions actions);
  bool TryWrite(const ReplicaActions& actions);
  void CompleteActions(const ReplicaActions& actions);
  void Pause(ReplicaActions actions);
  void TryResume();
  void Apply(const wire::LogEntry& entry);
  void InstallReceivedSnapshot(const ReplicaActions& actions);
  void CompleteReads(const ReplicaActions& actions);
  void DetectRoleChange();
  void StartLogClock();
  void FailProposals();
  void FailReads();
  void CompactIfLarge();

  net::EventLoop& loop_;
  Handlers handlers_;
  LogStore store_;
  StateMachine state_;
  std::unique_ptr<Replica> replica_;
  std::optional<StateMachine> received_state_;  // of the last snapshot received
  std::map<uint64_t, Proposal> proposals_;      // by index
  std::map<uint64_t, std::function<void(bool)>> reads_;
  HardState hard_state_;         // last one written to disk
  uint64_t snapshot_bytes_ = 0;  // size of the state in the newest snapshot
  uint64_t clock_base_us_ = 0;   // log clock at clock_started_at_
  Time clock_started_at_{};
  bool flush_scheduled_ = false;
  // Actions for whose writes the disk has no room; they are tried again.
  std::optional<ReplicaActions> unwritten_;
  Time paused_at_{};
  Time next_try_{};
  Time next_compaction_{};
  bool compaction_failed_ = false;  // for lack of room
  ReplicaRole last_role_ = ReplicaRole::kFollower;
  uint64_t last_term_ = 0;
  wire::ReplicaId last_leader_;
  net::Timer tick_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ibisvalve::control
