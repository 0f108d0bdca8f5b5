#include "control/replica_driver.h"

#include <glog/logging.h>

#include <cstdlib>
#include <random>
#include <utility>

#include "control/events.h"

namespace ibisvalve::control {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(20);
// Log size from which the log is compacted, unless twice the size of the
// snapshot is larger.
constexpr uint64_t kCompactBytes = 4 << 20;
constexpr int kExitDiskFailed = 3;
// Applied entries that stay in memory after a compaction, so that replicas a
// little behind need no snapshot.
constexpr uint64_t kKeptEntries = 2000;

uint64_t RandomSeed() {
  std::random_device device;
  return static_cast<uint64_t>(device()) << 32 | device();
}

}  // namespace

ReplicaDriver::ReplicaDriver(net::EventLoop& loop,
                             const Folder& folder,
                             Duration heartbeat,
                             Duration election,
                             Handlers handlers)
    : loop_(loop),
      handlers_(std::move(handlers)),
      store_(folder.path, folder.may_found),
      tick_(loop, [this] {
        replica_->Tick(loop_.Now());
        Flush();
      }) {
  const RecoveredLog recovered = store_.TakeRecovered();
  const std::string state = store_.TakeState();
  if (!state.empty()) {
    state_.Load(state);
  }
  hard_ = recovered.hard;
  snapshot_bytes_ = state.size();
  replica_ = std::make_unique<Replica>(
      ReplicaSettings{store_.replica(), heartbeat, election, RandomSeed()},
      recovered, loop.Now());
  LogEvent(kKeeperStarted, {{"replica", ToHex(Digest(self().value))},
                            {"term", hard_.term},
                            {"snapshot", recovered.snapshot.index},
                            {"last", replica_->log().last_index()}});
  tick_.StartPeriodic(kTick);
}

void ReplicaDriver::Receive(const ReplicaMessage& message) {
  replica_->Receive(message, loop_.Now());
  Schedule();
}

void ReplicaDriver::Found(const wire::KeeperMembers& members) {
  if (replica_->log().last_index() != 0) {
    return;
  }
  LogEvent(kGroupFounded, {{"group", ToHex(Digest(members.group.value))},
                           {"members", members.members.size()}});
  replica_->Found(members, loop_.Now());
  Schedule();
}

void ReplicaDriver::Propose(const Command& command, Proposed done) {
  const std::optional<uint64_t> index =
      replica_->Propose(wire::Encode(command));
  if (!index) {
    loop_.Post([done = std::move(done)] { done(std::nullopt); });
    return;
  }
  proposals_[*index] = Proposal{replica_->term(), std::move(done)};
  Schedule();
}

bool ReplicaDriver::ProposeMembers(const wire::KeeperMembers& members) {
  const bool proposed = replica_->ProposeMembers(members).has_value();
  Schedule();
  return proposed;
}

void ReplicaDriver::Read(std::function<void(bool)> done) {
  const std::optional<uint64_t> token = replica_->RequestRead();
  if (!token) {
    loop_.Post([done = std::move(done)] { done(false); });
    return;
  }
  reads_[*token] = std::move(done);
  Schedule();
}

uint64_t ReplicaDriver::LogClock() const {
  return clock_base_us_ +
         static_cast<uint64_t>((loop_.Now() - clock_since_).count());
}

void ReplicaDriver::Schedule() {
  if (std::exchange(scheduled_, true)) {
    return;
  }
  loop_.Post([this, alive = alive_] {
    if (*alive) {
      scheduled_ = false;
      Flush();
    }
  });
}

void ReplicaDriver::Flush() {
  const std::shared_ptr<bool> alive = alive_;
  try {
    for (;;) {
      ReplicaActions actions = replica_->Take(loop_.Now());
      NoticeRole();
      if (actions.empty()) {
        break;
      }
      Perform(std::move(actions));
      if (!*alive) {
        return;
      }
    }
    CompactIfLarge();
  } catch (const SystemError& error) {
    // After a failed write or sync the contents of the disk are unknown; only
    // recovery after a restart can determine them.
    LogEvent(kDiskFailed, {{"why", error.what()}});
    std::_Exit(kExitDiskFailed);
  }
}

void ReplicaDriver::Perform(ReplicaActions actions) {
  for (const ReplicaMessage& message : actions.early) {
    handlers_.send(message);
  }
  if (actions.hard) {
    hard_ = *actions.hard;
  }
  if (actions.install) {
    Install(actions);
  } else {
    store_.Append(actions.hard, actions.entries);
  }
  replica_->Synced();
  for (const ReplicaMessage& message : actions.messages) {
    handlers_.send(message);
  }
  for (const wire::LogEntry& entry : actions.committed) {
    Apply(entry);
  }
  FinishReads(actions);
  for (const wire::ReplicaId peer : actions.behind) {
    replica_->OfferSnapshot(peer, state_.applied(), state_.Save(), loop_.Now());
  }
}

void ReplicaDriver::Apply(const wire::LogEntry& entry) {
  const CommandResult result = state_.Apply(entry);
  if (entry.kind == wire::EntryKind::kNoop && entry.term == replica_->term()) {
    StartClock();  // all entries of earlier leaders have been applied
  }
  if (entry.kind == wire::EntryKind::kMembers) {
    const auto members = wire::Decode<wire::KeeperMembers>(entry.data);
    LogEvent(kMembersChanged,
             {{"index", entry.index}, {"members", members.members.size()}});
  }
  const auto waiting = proposals_.find(entry.index);
  if (waiting != proposals_.end()) {
    const Proposal proposal = std::move(waiting->second);
    proposals_.erase(waiting);
    if (proposal.term == entry.term) {
      proposal.done(result);
    } else {
      proposal.done(std::nullopt);
    }
  }
  handlers_.on_applied(&entry);
}

void ReplicaDriver::Install(const ReplicaActions& actions) {
  const SnapshotToInstall& snapshot = *actions.install;
  state_.Load(snapshot.data);
  CHECK_EQ(state_.applied(), snapshot.meta.index);
  store_.Compact(snapshot.meta, snapshot.data, hard_, actions.entries);
  snapshot_bytes_ = snapshot.data.size();
  LogEvent(kSnapshotInstalled,
           {{"index", snapshot.meta.index}, {"bytes", snapshot.data.size()}});
  FailProposals();
  handlers_.on_applied(nullptr);
}

void ReplicaDriver::FinishReads(const ReplicaActions& actions) {
  const auto finish = [this](uint64_t token, bool confirmed) {
    const auto waiting = reads_.find(token);
    if (waiting != reads_.end()) {
      const auto done = std::move(waiting->second);
      reads_.erase(waiting);
      done(confirmed);
    }
  };
  for (const uint64_t token : actions.reads) {
    finish(token, true);
  }
  for (const uint64_t token : actions.failed_reads) {
    finish(token, false);
  }
}

void ReplicaDriver::NoticeRole() {
  const bool led = seen_role_ == ReplicaRole::kLeader;
  const bool same = seen_role_ == replica_->role() &&
                    seen_term_ == replica_->term() &&
                    seen_leader_ == replica_->leader();
  if (same) {
    return;
  }
  const bool was_same_term = seen_term_ == replica_->term();
  seen_role_ = replica_->role();
  seen_term_ = replica_->term();
  seen_leader_ = replica_->leader();
  if (led && !(replica_->leading() && was_same_term)) {
    LogEvent(kLostLeadership, {{"term", replica_->term()}});
    FailProposals();
  }
  if (replica_->leading()) {
    StartClock();
    LogEvent(kBecameLeader, {{"term", replica_->term()}});
  }
  handlers_.on_role();
}

void ReplicaDriver::StartClock() {
  clock_base_us_ = state_.claims().clock_us();
  clock_since_ = loop_.Now();
}

void ReplicaDriver::FailProposals() {
  for (auto& [index, proposal] : std::exchange(proposals_, {})) {
    proposal.done(std::nullopt);
  }
}

void ReplicaDriver::CompactIfLarge() {
  const uint64_t limit = std::max(kCompactBytes, 2 * snapshot_bytes_);
  const uint64_t applied = state_.applied();
  const ReplicaLog& log = replica_->log();
  if (store_.log_bytes() < limit || applied <= log.base_index()) {
    return;
  }
  const std::string state = state_.Save();
  const SnapshotMeta meta{applied, log.TermAt(applied), log.MembersAt(applied)};
  store_.Compact(meta, state, hard_, log.From(applied + 1, SIZE_MAX));
  snapshot_bytes_ = state.size();
  LogEvent(kSnapshotWritten, {{"index", applied}, {"bytes", state.size()}});
  replica_->Compact(applied > kKeptEntries ? applied - kKeptEntries : 0);
}

}  // namespace ibisvalve::control
