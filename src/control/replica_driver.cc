#include "control/replica_driver.h"

#include <glog/logging.h>

#include <cstdlib>
#include <random>
#include <thread>
#include <utility>

#include "control/events.h"

namespace ibisvalve::control {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(20);
// Log size from which the log is compacted, unless twice the size of the
// snapshot is larger.
constexpr uint64_t kMinCompactionBytes = 4 << 20;
constexpr int kExitDiskFailed = 3;
constexpr Duration kDiskFullRetryInterval = std::chrono::milliseconds(100);
constexpr Duration kCompactionRetryInterval = std::chrono::seconds(1);
// Applied entries that stay in memory after a compaction, so that replicas a
// little behind need no snapshot. An entry may hold a whole file.
constexpr uint64_t kRetainedEntries = 2000;
constexpr uint64_t kRetainedBytes = 8 << 20;

// Opens the store, and waits until the disk has room for what it needs to
// start.
LogStore OpenStore(const ReplicaDriver::DataDirectory& directory) {
  for (bool logged = false;; logged = true) {
    try {
      return LogStore(directory.path, directory.may_found);
    } catch (const DiskFullError& error) {
      if (!logged) {
        LogEvent(kDiskFull, {{"why", error.what()}});
      }
      std::this_thread::sleep_for(kDiskFullRetryInterval);
    }
  }
}

uint64_t RandomSeed() {
  std::random_device device;
  return static_cast<uint64_t>(device()) << 32 | device();
}

}  // namespace

ReplicaDriver::ReplicaDriver(net::EventLoop& loop,
                             const DataDirectory& directory,
                             Duration heartbeat_interval,
                             Duration election_timeout,
                             Handlers handlers)
    : loop_(loop),
      handlers_(std::move(handlers)),
      store_(OpenStore(directory)),
      tick_timer_(loop, [this] {
        if (!paused()) {
          replica_->Tick(loop_.Now());
        }
        Flush();
      }) {
  const RecoveredLog recovered = store_.TakeRecoveredLog();
  const std::string state = store_.TakeSnapshotState();
  if (!state.empty()) {
    state_.Load(state);
  }
  hard_state_ = recovered.hard_state;
  snapshot_bytes_ = state.size();
  replica_ = std::make_unique<Replica>(
      ReplicaSettings{store_.replica(), heartbeat_interval, election_timeout,
                      RandomSeed()},
      recovered, loop.Now());
  LogEvent(kKeeperStarted, {{"replica", ToHex(Digest(self().value))},
                            {"term", hard_state_.term},
                            {"snapshot", recovered.snapshot.index},
                            {"last", replica_->log().last_index()}});
  tick_timer_.StartPeriodic(kTickInterval);
}

void ReplicaDriver::Receive(const ReplicaMessage& message) {
  if (paused()) {
    return;
  }
  if (const auto* snapshot = std::get_if<wire::InstallSnapshot>(&message)) {
    ReadSnapshot(*snapshot);
  }
  replica_->Receive(message, loop_.Now());
  ScheduleFlush();
}

// Reads the state before the replica replaces its log by the snapshot.
void ReplicaDriver::ReadSnapshot(const wire::InstallSnapshot& snapshot) {
  if (snapshot.index <= state_.applied()) {
    return;  // it will not be installed
  }
  received_state_.emplace();
  received_state_->Load(snapshot.data);
  if (received_state_->applied() != snapshot.index) {
    throw wire::WireError("a snapshot has not the index of its message");
  }
}

void ReplicaDriver::FoundNewGroup(const wire::KeeperMembers& members) {
  if (paused() || replica_->log().last_index() != 0) {
    return;
  }
  LogEvent(kGroupFounded, {{"group", ToHex(Digest(members.group.value))},
                           {"members", members.members.size()}});
  replica_->FoundNewGroup(members, loop_.Now());
  ScheduleFlush();
}

void ReplicaDriver::Propose(const Command& command, ProposalCallback done) {
  const std::optional<uint64_t> index =
      paused() ? std::nullopt : replica_->Propose(wire::Encode(command));
  if (!index) {
    loop_.Post([done = std::move(done)] { done(std::nullopt); });
    return;
  }
  proposals_[*index] = Proposal{replica_->term(), std::move(done)};
  ScheduleFlush();
}

bool ReplicaDriver::ProposeMembers(const wire::KeeperMembers& members) {
  const bool proposed =
      !paused() && replica_->ProposeMembers(members).has_value();
  ScheduleFlush();
  return proposed;
}

void ReplicaDriver::Read(std::function<void(bool)> done) {
  const std::optional<uint64_t> token =
      paused() ? std::nullopt : replica_->RequestRead();
  if (!token) {
    loop_.Post([done = std::move(done)] { done(false); });
    return;
  }
  reads_[*token] = std::move(done);
  ScheduleFlush();
}

uint64_t ReplicaDriver::LogClock() const {
  return clock_base_us_ +
         static_cast<uint64_t>((loop_.Now() - clock_started_at_).count());
}

void ReplicaDriver::ScheduleFlush() {
  if (std::exchange(flush_scheduled_, true)) {
    return;
  }
  loop_.Post([this, alive = alive_] {
    if (*alive) {
      flush_scheduled_ = false;
      Flush();
    }
  });
}

void ReplicaDriver::Flush() {
  const std::shared_ptr<bool> alive = alive_;
  try {
    TryResume();
    while (*alive && !paused()) {
      ReplicaActions actions = replica_->TakeActions(loop_.Now());
      DetectRoleChange();
      if (actions.empty()) {
        break;
      }
      PerformActions(std::move(actions));
    }
    if (*alive && !paused()) {
      CompactIfLarge();
    }
  } catch (const SystemError& error) {
    // After a failed write or sync the contents of the disk are unknown; only
    // recovery after a restart can determine them.
    LogEvent(kDiskFailed, {{"why", error.what()}});
    std::_Exit(kExitDiskFailed);
  }
}

void ReplicaDriver::PerformActions(ReplicaActions actions) {
  for (const ReplicaMessage& message : actions.messages_before_sync) {
    handlers_.send(message);
  }
  if (actions.hard_state) {
    hard_state_ = *actions.hard_state;
  }
  if (TryWrite(actions)) {
    CompleteActions(actions);
  } else {
    Pause(std::move(actions));
  }
}

// Writes what the actions ask for. Returns false if the disk has no room.
bool ReplicaDriver::TryWrite(const ReplicaActions& actions) {
  try {
    if (actions.install) {
      InstallReceivedSnapshot(actions);
    } else {
      store_.Append(actions.hard_state, actions.entries);
    }
    return true;
  } catch (const DiskFullError& error) {
    if (!paused()) {
      LogEvent(kDiskFull, {{"why", error.what()}});
    }
    return false;
  }
}

void ReplicaDriver::CompleteActions(const ReplicaActions& actions) {
  replica_->OnSynced();
  for (const ReplicaMessage& message : actions.messages_after_sync) {
    handlers_.send(message);
  }
  for (const wire::LogEntry& entry : actions.committed) {
    Apply(entry);
  }
  CompleteReads(actions);
  for (const wire::ReplicaId peer : actions.need_snapshot) {
    replica_->SendSnapshot(peer, state_.applied(), state_.Save(), loop_.Now());
  }
}

// What is pending here may be committed by other replicas, so its outcome is
// unknown.
void ReplicaDriver::Pause(ReplicaActions actions) {
  unwritten_ = std::move(actions);
  paused_at_ = loop_.Now();
  next_try_ = paused_at_ + kDiskFullRetryInterval;
  FailProposals();
  FailReads();
  handlers_.on_paused();
}

void ReplicaDriver::TryResume() {
  const Time now = loop_.Now();
  if (!paused() || now < next_try_) {
    return;
  }
  next_try_ = now + kDiskFullRetryInterval;
  if (TryWrite(*unwritten_)) {
    const ReplicaActions actions = std::move(*unwritten_);
    unwritten_.reset();
    const auto paused_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - paused_at_);
    LogEvent(kDiskHasRoom,
             {{"paused_ms", static_cast<uint64_t>(paused_ms.count())}});
    CompleteActions(actions);
  }
}

void ReplicaDriver::Apply(const wire::LogEntry& entry) {
  const CommandResult result = state_.Apply(entry);
  if (entry.kind == wire::EntryKind::kNoop && entry.term == replica_->term()) {
    StartLogClock();  // all entries of earlier leaders have been applied
  }
  if (entry.kind == wire::EntryKind::kMembers) {
    const auto members = wire::Decode<wire::KeeperMembers>(entry.data);
    LogEvent(kMembersChanged,
             {{"index", entry.index}, {"members", members.members.size()}});
  }
  const auto pending = proposals_.find(entry.index);
  if (pending != proposals_.end()) {
    const Proposal proposal = std::move(pending->second);
    proposals_.erase(pending);
    if (proposal.term == entry.term) {
      proposal.done(result);
    } else {
      proposal.done(std::nullopt);
    }
  }
  handlers_.on_applied(&entry);
}

void ReplicaDriver::InstallReceivedSnapshot(const ReplicaActions& actions) {
  const SnapshotToInstall& snapshot = *actions.install;
  // A later snapshot, of an earlier leader, may have been read since.
  if (!received_state_ || received_state_->applied() != snapshot.meta.index) {
    received_state_.emplace();
    received_state_->Load(snapshot.data);
  }
  store_.Compact(snapshot.meta, snapshot.data, hard_state_, actions.entries);
  state_ = std::move(*received_state_);
  received_state_.reset();
  snapshot_bytes_ = snapshot.data.size();
  LogEvent(kSnapshotInstalled,
           {{"index", snapshot.meta.index}, {"bytes", snapshot.data.size()}});
  FailProposals();
  handlers_.on_applied(nullptr);
}

void ReplicaDriver::CompleteReads(const ReplicaActions& actions) {
  const auto finish = [this](uint64_t token, bool confirmed) {
    const auto pending = reads_.find(token);
    if (pending != reads_.end()) {
      const auto done = std::move(pending->second);
      reads_.erase(pending);
      done(confirmed);
    }
  };
  for (const uint64_t token : actions.confirmed_reads) {
    finish(token, true);
  }
  for (const uint64_t token : actions.failed_reads) {
    finish(token, false);
  }
}

void ReplicaDriver::DetectRoleChange() {
  const bool was_leader = last_role_ == ReplicaRole::kLeader;
  const bool unchanged = last_role_ == replica_->role() &&
                         last_term_ == replica_->term() &&
                         last_leader_ == replica_->leader();
  if (unchanged) {
    return;
  }
  const bool is_same_term = last_term_ == replica_->term();
  last_role_ = replica_->role();
  last_term_ = replica_->term();
  last_leader_ = replica_->leader();
  if (was_leader && !(replica_->leading() && is_same_term)) {
    LogEvent(kLostLeadership, {{"term", replica_->term()}});
    FailProposals();
  }
  if (replica_->leading()) {
    StartLogClock();
    LogEvent(kBecameLeader, {{"term", replica_->term()}});
  }
  handlers_.on_role_change();
}

void ReplicaDriver::StartLogClock() {
  clock_base_us_ = state_.claims().clock_us();
  clock_started_at_ = loop_.Now();
}

void ReplicaDriver::FailProposals() {
  for (auto& [index, proposal] : std::exchange(proposals_, {})) {
    proposal.done(std::nullopt);
  }
}

void ReplicaDriver::FailReads() {
  for (auto& [token, done] : std::exchange(reads_, {})) {
    done(false);
  }
}

void ReplicaDriver::CompactIfLarge() {
  const uint64_t limit = std::max(kMinCompactionBytes, 2 * snapshot_bytes_);
  const uint64_t applied = state_.applied();
  const ReplicaLog& log = replica_->log();
  if (store_.log_bytes() < limit || applied <= log.base_index() ||
      loop_.Now() < next_compaction_) {
    return;
  }
  const std::string state = state_.Save();
  const SnapshotMeta meta{applied, log.TermAt(applied), log.MembersAt(applied)};
  try {
    store_.Compact(meta, state, hard_state_,
                   log.EntriesFrom(applied + 1, SIZE_MAX));
  } catch (const DiskFullError& error) {
    // The log goes on to grow as long as there is room for it.
    next_compaction_ = loop_.Now() + kCompactionRetryInterval;
    if (!std::exchange(compaction_failed_, true)) {
      LogEvent(kDiskFull, {{"why", error.what()}});
    }
    return;
  }
  compaction_failed_ = false;
  snapshot_bytes_ = state.size();
  LogEvent(kSnapshotWritten, {{"index", applied}, {"bytes", state.size()}});
  replica_->Compact(
      log.StartOfRecent(applied, kRetainedEntries, kRetainedBytes));
}

}  // namespace ibisvalve::control
