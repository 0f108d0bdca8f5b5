#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "control/member_plan.h"
#include "control/replica.h"
#include "control/state_machine.h"

namespace ibisvalve::control {

/// A simulated cluster of replicas without sockets and disks. Injects faults
/// drawn from a seed and checks the safety properties at every step.
class ReplicaCluster {
 public:
  /// With `founded_late`, some replicas learn of the founding of the group only
  /// after others have begun to work.
  explicit ReplicaCluster(uint64_t seed, size_t size, bool founded_late = false)
      : random_(seed) {
    // Each seed has its own fault rates, so that rare interleavings occur.
    fault_rates_.crash = 0.03 * UniformUnit() * UniformUnit();
    fault_rates_.crash_in_sync = 0.02 * UniformUnit() * UniformUnit();
    fault_rates_.restart = 0.02 + 0.4 * UniformUnit();
    fault_rates_.pause = 0.02 * UniformUnit() * UniformUnit();
    fault_rates_.block = 0.03 * UniformUnit() * UniformUnit();
    fault_rates_.drop = 0.3 * UniformUnit() * UniformUnit();
    fault_rates_.delay = 0.8 * UniformUnit();
    fault_rates_.lose_disk = 0.006 * UniformUnit();
    fault_rates_.skip_tick = 0.5 * UniformUnit();
    founding_.group = wire::GroupId(1);
    for (size_t slot = 0; slot < size; ++slot) {
      hosts_.push_back(std::make_unique<Host>());
      hosts_[slot]->disk.id = NewId();
      hosts_[slot]->clock_rate = 0.4 + 1.2 * UniformUnit();
      founding_.members.push_back(MemberAt(slot, true));
    }
    for (size_t slot = 0; slot < size; ++slot) {
      Start(slot);
      if (founded_late && slot > 0 && Draw(0.5)) {
        continue;
      }
      hosts_[slot]->replica->FoundNewGroup(founding_, TimeAt(slot));
      Persist(*hosts_[slot], hosts_[slot]->replica->TakeActions(TimeAt(slot)));
      hosts_[slot]->replica->OnSynced();
    }
    committed_members_ = founding_;
  }

  /// Advances the simulation by 10 ms, with the faults drawn from the seed.
  void Step() {
    now_ += std::chrono::milliseconds(10);
    if (!faults_ended_) {
      RunClients();
    }
    for (size_t slot = 0; slot < hosts_.size(); ++slot) {
      InjectFault(slot);
      if (IsRunning(slot) && IsUnfounded(slot) &&
          (faults_ended_ || Draw(0.01))) {
        hosts_[slot]->replica->FoundNewGroup(founding_, TimeAt(slot));
        Perform(slot);
      }
      if (IsRunning(slot) && (faults_ended_ || !Draw(fault_rates_.skip_tick))) {
        hosts_[slot]->replica->Tick(TimeAt(slot));
        Perform(slot);
      }
    }
    Deliver();
    RepairMembers();
  }

  /// Ends fault injection: every replica runs, and every message arrives.
  void EndFaults() {
    faults_ended_ = true;
    blocked_until_.clear();
    for (size_t slot = 0; slot < hosts_.size(); ++slot) {
      hosts_[slot]->paused_until = Time();
      if (!hosts_[slot]->replica) {
        Start(slot);
      }
    }
  }

  /// Returns whether the members are the replicas of all hosts, each of them a
  /// voter, and every host has applied the last entry.
  bool Converged() const {
    uint64_t highest = 0;
    for (const auto& host : hosts_) {
      highest = std::max(highest, host->replica->log().last_index());
    }
    return std::all_of(hosts_.begin(), hosts_.end(), [&](const auto& host) {
      const auto& all = host->replica->members().members;
      const bool votes = std::any_of(
          all.begin(), all.end(), [&](const wire::KeeperMember& member) {
            return member.replica == host->disk.id && member.voter;
          });
      return votes && host->machine.applied() == highest &&
             all.size() == hosts_.size();
    });
  }

  /// Returns one line per host for a failure message.
  std::string Describe() const {
    std::string text;
    for (const auto& host : hosts_) {
      const Replica& replica = *host->replica;
      text += "\nid " + std::to_string(host->disk.id.value) + " term " +
              std::to_string(replica.term()) + " leader " +
              std::to_string(replica.leader().value) + " log " +
              std::to_string(replica.log().base_index()) + ".." +
              std::to_string(replica.log().last_index()) + " commit " +
              std::to_string(replica.commit()) + " members";
      for (const wire::KeeperMember& member : replica.members().members) {
        text += (member.voter ? " " : " learner ") +
                std::to_string(member.replica.value);
      }
    }
    return text;
  }

  size_t granted() const { return holders_.size(); }
  size_t leaders() const { return leader_of_term_.size(); }
  size_t lost_disks() const { return lost_disks_; }
  Revision highest_read() const { return highest_read_; }

 private:
  // Probabilities per host and step, or per message.
  struct FaultRates {
    double crash, crash_in_sync, restart, pause, block, drop, delay, lose_disk,
        skip_tick;
  };
  struct Disk {
    wire::ReplicaId id;
    RecoveredLog log;
    std::string state;
  };
  struct Host {
    Disk disk;
    std::unique_ptr<Replica> replica;
    StateMachine machine;
    Time paused_until{};
    double clock_rate = 1;
    std::map<uint64_t, Revision> reads;  // by token: oldest revision allowed
    std::map<uint64_t, std::pair<uint64_t, Command>> proposals;  // by index
  };

  wire::ReplicaId NewId() { return wire::ReplicaId(next_id_++); }
  world::Endpoint EndpointOf(size_t slot) const {
    return {"127.0.0.1", static_cast<uint16_t>(slot + 1)};
  }
  wire::KeeperMember MemberAt(size_t slot, bool voter) const {
    return {hosts_[slot]->disk.id, NodeId(std::to_string(slot)),
            EndpointOf(slot), voter};
  }
  double UniformUnit() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  bool Draw(double probability) { return UniformUnit() < probability; }
  // Each host has a clock with its own rate.
  Time TimeAt(size_t slot) const {
    return Time(Duration(static_cast<Duration::rep>(
        static_cast<double>(now_.time_since_epoch().count()) *
        hosts_[slot]->clock_rate)));
  }
  uint64_t RandomBelow(uint64_t bound) { return random_() % bound; }
  bool IsRunning(size_t slot) const {
    return hosts_[slot]->replica && now_ >= hosts_[slot]->paused_until;
  }

  // Returns whether the replica is a founding member and does not know it.
  bool IsUnfounded(size_t slot) const {
    const auto& all = founding_.members;
    return hosts_[slot]->replica->log().last_index() == 0 &&
           std::any_of(all.begin(), all.end(),
                       [&](const wire::KeeperMember& member) {
                         return member.replica == hosts_[slot]->disk.id;
                       });
  }

  void Start(size_t slot) {
    Host& host = *hosts_[slot];
    host.machine = StateMachine();
    if (!host.disk.state.empty()) {
      host.machine.Load(host.disk.state);
    }
    host.replica = std::make_unique<Replica>(
        ReplicaSettings{host.disk.id, std::chrono::milliseconds(50),
                        std::chrono::milliseconds(200), random_()},
        host.disk.log, TimeAt(slot));
    host.reads.clear();
    host.proposals.clear();
  }

  void InjectFault(size_t slot) {
    Host& host = *hosts_[slot];
    if (faults_ended_) {
      return;
    }
    if (!host.replica) {
      if (Draw(fault_rates_.restart)) {
        Start(slot);
      }
      return;
    }
    if (Draw(fault_rates_.crash)) {
      host.replica.reset();  // loses its unsynced actions
    } else if (Draw(fault_rates_.pause)) {
      host.paused_until =
          now_ + std::chrono::milliseconds(50 + RandomBelow(1500));
    } else if (Draw(fault_rates_.block)) {
      // Blocks one direction only; another draw may block the other one.
      blocked_until_[{slot, RandomBelow(hosts_.size())}] =
          now_ + std::chrono::milliseconds(50 + RandomBelow(1500));
    } else if (Draw(fault_rates_.lose_disk) && CanLoseDisk()) {
      ++lost_disks_;
      host.disk = Disk{NewId(), {}, ""};
      Start(slot);
    } else if (Draw(0.02)) {
      CompactLog(host);
    }
  }

  // Another disk may be lost only after the previous one has been replaced.
  bool CanLoseDisk() const {
    size_t present = 0;
    for (const wire::KeeperMember& member : committed_members_.members) {
      for (const auto& host : hosts_) {
        present += member.voter && host->disk.id == member.replica ? 1 : 0;
      }
    }
    return hosts_.size() >= 3 && present == hosts_.size();
  }

  void CompactLog(Host& host) {
    const uint64_t applied = host.machine.applied();
    const ReplicaLog& log = host.replica->log();
    if (applied <= log.base_index() || !host.replica->log().Holds(applied)) {
      return;
    }
    host.disk.log.snapshot =
        SnapshotMeta{applied, log.TermAt(applied), log.MembersAt(applied)};
    host.disk.log.entries = log.EntriesFrom(applied + 1, SIZE_MAX);
    host.disk.state = host.machine.Save();
    host.replica->Compact(applied > 3 ? applied - 3 : 0);
  }

  void Perform(size_t slot) {
    Host& host = *hosts_[slot];
    for (;;) {
      ReplicaActions actions = host.replica->TakeActions(TimeAt(slot));
      if (actions.empty()) {
        return;
      }
      CheckLeader(host);
      Send(actions.messages_before_sync);
      if (!faults_ended_ && Draw(fault_rates_.crash_in_sync)) {
        host.replica.reset();  // before the sync
        return;
      }
      Persist(host, actions);
      host.replica->OnSynced();
      if (!faults_ended_ && Draw(fault_rates_.crash_in_sync)) {
        host.replica.reset();  // after the sync, before the replies
        return;
      }
      Send(actions.messages_after_sync);
      for (const wire::LogEntry& entry : actions.committed) {
        Apply(host, entry);
      }
      CheckReads(host, actions);
      for (const wire::ReplicaId peer : actions.need_snapshot) {
        host.replica->SendSnapshot(peer, host.machine.applied(),
                                   host.machine.Save(), TimeAt(slot));
      }
    }
  }

  void Persist(Host& host, const ReplicaActions& actions) {
    if (actions.hard_state) {
      host.disk.log.hard_state = *actions.hard_state;
    }
    if (actions.install) {
      host.disk.log.snapshot = actions.install->meta;
      host.disk.log.entries.clear();
      host.disk.state = actions.install->data;
      host.machine.Load(host.disk.state);
      host.proposals.clear();
    }
    std::vector<wire::LogEntry>& entries = host.disk.log.entries;
    for (const wire::LogEntry& entry : actions.entries) {
      std::erase_if(entries, [&](const wire::LogEntry& old) {
        return old.index >= entry.index;
      });
      entries.push_back(entry);
    }
  }

  void CheckLeader(const Host& host) {
    if (!host.replica->leading()) {
      return;
    }
    const auto [it, inserted] =
        leader_of_term_.try_emplace(host.replica->term(), host.disk.id);
    EXPECT_EQ(it->second, host.disk.id)
        << "two leaders in term " << host.replica->term();
  }

  void Apply(Host& host, const wire::LogEntry& entry) {
    const auto [it, inserted] = committed_.try_emplace(entry.index, entry);
    EXPECT_EQ(it->second, entry)
        << "different entries committed at the same index";
    if (inserted && entry.kind == wire::EntryKind::kMembers) {
      committed_members_ = wire::Decode<wire::KeeperMembers>(entry.data);
    }
    const CommandResult result = host.machine.Apply(entry);
    const auto proposal = host.proposals.find(entry.index);
    if (proposal != host.proposals.end()) {
      if (proposal->second.first == entry.term) {
        CheckResult(proposal->second.second, result);
      }
      host.proposals.erase(proposal);
    }
  }

  // Checks that the result given to a proposer agrees with all earlier results
  // for the same change or key.
  void CheckResult(const Command& command, const CommandResult& result) {
    if (const auto* stage = std::get_if<StageConfig>(&command)) {
      const auto& answer = std::get<ChangeAnswer>(result);
      const bool accepted = answer.result == ChangeResult::kStaged ||
                            answer.result == ChangeResult::kActive;
      const auto answer_key = std::pair(
          accepted ? ChangeResult::kStaged : answer.result, answer.revision);
      const auto [it, inserted] =
          answers_.try_emplace(stage->change, answer_key);
      EXPECT_EQ(it->second, answer_key)
          << "two different answers to the same change";
    } else if (const auto* claim = std::get_if<ClaimKey>(&command)) {
      if (std::get<wire::ClaimReply>(result).verdict ==
          wire::ClaimVerdict::kGranted) {
        const auto [it, inserted] =
            holders_.try_emplace(claim->key, claim->holder);
        EXPECT_EQ(it->second, claim->holder) << "two holders of the same key";
      }
    }
  }

  void CheckReads(Host& host, const ReplicaActions& actions) {
    for (const uint64_t token : actions.confirmed_reads) {
      const ConfigRecord* active = host.machine.config().active();
      const Revision seen = active == nullptr ? Revision() : active->revision;
      EXPECT_GE(seen.value, host.reads[token].value)
          << "a read returned an older revision than an earlier read";
      highest_read_ = std::max(highest_read_, seen);
    }
  }

  template <typename Messages>
  void Send(const Messages& messages) {
    for (const ReplicaMessage& message : messages) {
      in_flight_.push_back(message);
    }
  }

  void Deliver() {
    std::vector<ReplicaMessage> due;
    due.swap(in_flight_);
    if (!faults_ended_) {
      std::shuffle(due.begin(), due.end(), random_);
    }
    for (const ReplicaMessage& message : due) {
      if (!faults_ended_ && (Draw(fault_rates_.drop) || IsBlocked(message))) {
        continue;  // lost
      }
      if (!faults_ended_ && Draw(fault_rates_.delay)) {
        in_flight_.push_back(message);  // delayed
        continue;
      }
      if (!faults_ended_ && Draw(0.03)) {
        in_flight_.push_back(message);  // duplicated
      }
      for (size_t slot = 0; slot < hosts_.size(); ++slot) {
        if (IsRunning(slot)) {
          hosts_[slot]->replica->Receive(message, TimeAt(slot));
          Perform(slot);
        }
      }
    }
  }

  bool IsBlocked(const ReplicaMessage& message) const {
    const auto route = std::visit(
        [](const auto& typed) { return std::pair(typed.from, typed.to); },
        message);
    return std::any_of(
        blocked_until_.begin(), blocked_until_.end(), [&](const auto& block) {
          return now_ < block.second &&
                 hosts_[block.first.first]->disk.id == route.first &&
                 (hosts_[block.first.second]->disk.id == route.second ||
                  block.first.first ==
                      block.first.second);  // blocked to all hosts
        });
  }

  void RunClients() {
    for (size_t slot = 0; slot < hosts_.size(); ++slot) {
      Host* host = hosts_[slot].get();
      if (!IsRunning(slot) || !host->replica->leading() || !Draw(0.3)) {
        continue;
      }
      Replica& replica = *host->replica;
      if (Draw(0.3)) {
        if (const auto token = replica.RequestRead()) {
          host->reads[*token] = highest_read_;
        }
      }
      const Command command = RandomCommand(host->machine);
      if (const auto index = replica.Propose(wire::Encode(command))) {
        host->proposals[*index] = {replica.term(), command};
      }
      // Performs the actions at once, usually before the next tick can detect
      // that leadership was lost.
      Perform(slot);
    }
  }

  Command RandomCommand(const StateMachine& machine) {
    const ConfigRecord* active = machine.config().active();
    const ConfigRecord* staged = machine.config().staged();
    const Revision base = active == nullptr ? Revision() : active->revision;
    switch (RandomBelow(4)) {
      case 0: {
        // The same change is sent repeatedly, always with its first base.
        const ChangeId change("c" + std::to_string(RandomBelow(40)));
        const auto [it, inserted] = bases_.try_emplace(change, base);
        return StageConfig{change, it->second, change.value, 8'000'000, 0};
      }
      case 1:
        if (staged != nullptr) {
          return ActivateConfig{staged->revision, 0};
        }
        [[fallthrough]];
      default: {
        ClaimKey claim;
        claim.key = {ServiceName("s"), "k" + std::to_string(RandomBelow(60))};
        claim.holder.attempt = {Incarnation(1), 1 + RandomBelow(1000)};
        claim.retention_us = 1'000'000'000;
        return claim;
      }
    }
  }

  // Proposes the membership changes with which the leader replaces members that
  // lost their disk.
  void RepairMembers() {
    for (size_t leader_slot = 0; leader_slot < hosts_.size(); ++leader_slot) {
      Host* host = hosts_[leader_slot].get();
      if (!IsRunning(leader_slot) || !host->replica->committed_in_term()) {
        continue;
      }
      GroupView view{host->replica->members(),
                     {},
                     host->replica->peers(),
                     host->replica->commit(),
                     std::chrono::milliseconds(200)};
      for (size_t slot = 0; slot < hosts_.size(); ++slot) {
        if (hosts_[slot]->replica) {
          view.hellos[EndpointOf(slot)] = wire::KeeperHello{
              hosts_[slot]->replica->members().group, hosts_[slot]->disk.id,
              NodeId(std::to_string(slot)), EndpointOf(slot)};
        }
      }
      if (const auto next = NextMembers(view, TimeAt(leader_slot))) {
        host->replica->ProposeMembers(*next);
      }
    }
  }

  std::mt19937_64 random_;
  Time now_{std::chrono::seconds(1)};
  uint64_t next_id_ = 1;
  bool faults_ended_ = false;
  FaultRates fault_rates_{};
  std::map<std::pair<size_t, size_t>, Time> blocked_until_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<ReplicaMessage> in_flight_;
  wire::KeeperMembers committed_members_;
  wire::KeeperMembers founding_;
  size_t lost_disks_ = 0;
  std::map<uint64_t, wire::ReplicaId> leader_of_term_;
  std::map<uint64_t, wire::LogEntry> committed_;
  std::map<ChangeId, Revision> bases_;
  std::map<ChangeId, std::pair<ChangeResult, Revision>> answers_;
  std::map<wire::RequestKey, wire::ClaimHolder> holders_;
  Revision highest_read_;
};

}  // namespace ibisvalve::control
