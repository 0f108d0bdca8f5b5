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

/// Runs a Replica on the loop: writes and syncs what it asks for, sends its
/// messages, applies committed entries, and calls back whoever proposed or
/// read. What happens in one turn of the loop shares one sync.
class ReplicaDriver {
 public:
  struct Handlers {
    /// Sends a message to another replica; may lose it.
    std::function<void(const ReplicaMessage& message)> send;
    /// An entry has been applied, or a snapshot installed (null).
    std::function<void(const wire::LogEntry* entry)> on_applied;
    /// Role, term or leader have changed.
    std::function<void()> on_role;
  };
  /// Gets the result, or nothing when leadership was lost: the command may
  /// have been committed or not.
  using Proposed = std::function<void(const std::optional<CommandResult>&)>;

  /// Where a replica keeps its files, and whether it may found a group if
  /// there are none yet.
  struct Folder {
    std::string path;
    bool may_found = true;
  };

  /// Recovers from `folder`; see LogStore for what it throws.
  ReplicaDriver(net::EventLoop& loop,
                const Folder& folder,
                Duration heartbeat,
                Duration election,
                Handlers handlers);
  ~ReplicaDriver() { *alive_ = false; }
  ReplicaDriver(const ReplicaDriver&) = delete;
  ReplicaDriver& operator=(const ReplicaDriver&) = delete;

  /// Takes in a message from another replica.
  void Receive(const ReplicaMessage& message);
  /// Founds a group with these members, if the log is empty.
  void Found(const wire::KeeperMembers& members);
  /// Proposes a command; `done` is called once, later.
  void Propose(const Command& command, Proposed done);
  /// Proposes members; returns whether that was possible now.
  bool ProposeMembers(const wire::KeeperMembers& members);
  /// Calls `done(true)` once a majority has confirmed that the state is as new
  /// as now, or `done(false)` when this replica does not lead.
  void Read(std::function<void(bool)> done);

  wire::ReplicaId self() const { return store_.replica(); }
  const Replica& replica() const { return *replica_; }
  const StateMachine& state() const { return state_; }
  const LogStore& store() const { return store_; }
  /// Returns the clock of the log, in microseconds: it goes on from the last
  /// applied command and stands still while nobody leads, so that no wall
  /// clock that jumps can end a claim early.
  uint64_t LogClock() const;

 private:
  struct Proposal {
    uint64_t term;
    Proposed done;
  };

  void Schedule();
  void Flush();
  void Perform(ReplicaActions actions);
  void Apply(const wire::LogEntry& entry);
  void Install(const ReplicaActions& actions);
  void FinishReads(const ReplicaActions& actions);
  void NoticeRole();
  void StartClock();
  void FailProposals();
  void CompactIfLarge();

  net::EventLoop& loop_;
  Handlers handlers_;
  LogStore store_;
  StateMachine state_;
  std::unique_ptr<Replica> replica_;
  std::map<uint64_t, Proposal> proposals_;  // by index
  std::map<uint64_t, std::function<void(bool)>> reads_;
  HardState hard_;               // as on disk
  uint64_t snapshot_bytes_ = 0;  // of the last one written
  uint64_t clock_base_us_ = 0;   // of the log when leadership was gained
  Time clock_since_{};
  bool scheduled_ = false;
  ReplicaRole seen_role_ = ReplicaRole::kFollower;
  uint64_t seen_term_ = 0;
  wire::ReplicaId seen_leader_;
  net::Timer tick_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ibisvalve::control
