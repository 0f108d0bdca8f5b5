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

/// Replicas without sockets or disks, under faults drawn from a seed, that are
/// held against the promises at every step.
class ReplicaCluster {
 public:
  explicit ReplicaCluster(uint64_t seed, size_t size) : random_(seed) {
    wire::KeeperMembers founding{wire::GroupId(1), {}};
    for (size_t slot = 0; slot < size; ++slot) {
      hosts_.push_back(std::make_unique<Host>());
      hosts_[slot]->disk.id = NewId();
      founding.members.push_back(MemberAt(slot, true));
    }
    for (size_t slot = 0; slot < size; ++slot) {
      Start(slot);
      hosts_[slot]->replica->Found(founding, now_);
    }
    committed_members_ = founding;
  }

  /// Lets 10 ms pass with whatever faults the seed holds.
  void Step() {
    now_ += std::chrono::milliseconds(10);
    for (size_t slot = 0; slot < hosts_.size(); ++slot) {
      Fault(slot);
      if (Runs(slot)) {
        hosts_[slot]->replica->Tick(now_);
        Perform(slot);
      }
    }
    Deliver();
    Clients();
    Administer();
  }

  /// No more faults: everyone runs, and every message arrives.
  void Heal() {
    healed_ = true;
    for (size_t slot = 0; slot < hosts_.size(); ++slot) {
      hosts_[slot]->paused_until = Time();
      if (!hosts_[slot]->replica) {
        Start(slot);
      }
    }
  }

  /// Returns whether every host votes and has applied the same last entry.
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

  size_t granted() const { return winners_.size(); }
  size_t leaders() const { return leader_of_term_.size(); }
  size_t lost_disks() const { return lost_disks_; }
  Revision highest_read() const { return highest_read_; }

 private:
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
    std::map<uint64_t, Revision> reads;  // token: what it may not go below
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
  bool Chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }
  uint64_t Below(uint64_t bound) { return random_() % bound; }
  bool Runs(size_t slot) const {
    return hosts_[slot]->replica && now_ >= hosts_[slot]->paused_until;
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
        host.disk.log, now_);
    host.reads.clear();
    host.proposals.clear();
  }

  void Fault(size_t slot) {
    Host& host = *hosts_[slot];
    if (healed_) {
      return;
    }
    if (!host.replica) {
      if (Chance(0.05)) {
        Start(slot);
      }
      return;
    }
    if (Chance(0.004)) {
      host.replica.reset();  // unsynced actions are lost with it
    } else if (Chance(0.004)) {
      host.paused_until = now_ + std::chrono::milliseconds(100 + Below(900));
    } else if (Chance(0.002) && MayLoseDisk()) {
      ++lost_disks_;
      host.disk = Disk{NewId(), {}, ""};
      Start(slot);
    } else if (Chance(0.01)) {
      CompactLog(host);
    }
  }

  // Another disk is lost only once the former is replaced.
  bool MayLoseDisk() const {
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
    host.disk.log.entries = log.From(applied + 1, SIZE_MAX);
    host.disk.state = host.machine.Save();
    host.replica->Compact(applied > 3 ? applied - 3 : 0);
  }

  void Perform(size_t slot) {
    Host& host = *hosts_[slot];
    for (;;) {
      ReplicaActions actions = host.replica->Take(now_);
      if (actions.empty()) {
        return;
      }
      NoteLeader(host);
      Send(actions.early);
      if (!healed_ && Chance(0.002)) {
        host.replica.reset();  // before the sync
        return;
      }
      Persist(host, actions);
      host.replica->Synced();
      if (!healed_ && Chance(0.002)) {
        host.replica.reset();  // after the sync, before the answers
        return;
      }
      Send(actions.messages);
      for (const wire::LogEntry& entry : actions.committed) {
        Apply(host, entry);
      }
      FinishReads(host, actions);
      for (const wire::ReplicaId peer : actions.behind) {
        host.replica->OfferSnapshot(peer, host.machine.applied(),
                                    host.machine.Save(), now_);
      }
    }
  }

  void Persist(Host& host, const ReplicaActions& actions) {
    if (actions.hard) {
      host.disk.log.hard = *actions.hard;
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

  void NoteLeader(const Host& host) {
    if (!host.replica->leading()) {
      return;
    }
    const auto [place, fresh] =
        leader_of_term_.try_emplace(host.replica->term(), host.disk.id);
    EXPECT_EQ(place->second, host.disk.id)
        << "two leaders of term " << host.replica->term();
  }

  void Apply(Host& host, const wire::LogEntry& entry) {
    const auto [place, fresh] = committed_.try_emplace(entry.index, entry);
    EXPECT_EQ(place->second, entry) << "two entries committed at one index";
    if (fresh && entry.kind == wire::EntryKind::kMembers) {
      committed_members_ = wire::Decode<wire::KeeperMembers>(entry.data);
    }
    const CommandResult result = host.machine.Apply(entry);
    const auto proposal = host.proposals.find(entry.index);
    if (proposal != host.proposals.end()) {
      if (proposal->second.first == entry.term) {
        NoteAnswer(proposal->second.second, result);
      }
      host.proposals.erase(proposal);
    }
  }

  // The proposer is told `result`: it must agree with all told before.
  void NoteAnswer(const Command& command, const CommandResult& result) {
    if (const auto* stage = std::get_if<StageConfig>(&command)) {
      const auto& answer = std::get<ChangeAnswer>(result);
      const bool accepted = answer.result == ChangeResult::kStaged ||
                            answer.result == ChangeResult::kActive;
      const auto told = std::pair(
          accepted ? ChangeResult::kStaged : answer.result, answer.revision);
      const auto [place, fresh] = told_.try_emplace(stage->change, told);
      EXPECT_EQ(place->second, told) << "two answers to one change";
    } else if (const auto* claim = std::get_if<ClaimKey>(&command)) {
      if (std::get<wire::ClaimReply>(result).verdict ==
          wire::ClaimVerdict::kGranted) {
        const auto [place, fresh] =
            winners_.try_emplace(claim->key, claim->holder);
        EXPECT_EQ(place->second, claim->holder) << "two holders of one key";
      }
    }
  }

  void FinishReads(Host& host, const ReplicaActions& actions) {
    for (const uint64_t token : actions.reads) {
      const ConfigRecord* active = host.machine.config().active();
      const Revision seen = active == nullptr ? Revision() : active->revision;
      EXPECT_GE(seen.value, host.reads[token].value)
          << "a reader went back to an older revision";
      highest_read_ = std::max(highest_read_, seen);
    }
  }

  template <typename Messages>
  void Send(const Messages& messages) {
    for (const ReplicaMessage& message : messages) {
      flying_.push_back(message);
    }
  }

  void Deliver() {
    std::vector<ReplicaMessage> due;
    due.swap(flying_);
    if (!healed_) {
      std::shuffle(due.begin(), due.end(), random_);
    }
    for (const ReplicaMessage& message : due) {
      if (!healed_ && Chance(0.05)) {
        continue;  // lost
      }
      if (!healed_ && Chance(0.2)) {
        flying_.push_back(message);  // late
        continue;
      }
      if (!healed_ && Chance(0.03)) {
        flying_.push_back(message);  // doubled
      }
      for (size_t slot = 0; slot < hosts_.size(); ++slot) {
        if (Runs(slot)) {
          hosts_[slot]->replica->Receive(message, now_);
          Perform(slot);
        }
      }
    }
  }

  void Clients() {
    for (const auto& host : hosts_) {
      if (!host->replica || !host->replica->leading() || !Chance(0.3)) {
        continue;
      }
      Replica& replica = *host->replica;
      if (Chance(0.3)) {
        if (const auto token = replica.RequestRead()) {
          host->reads[*token] = highest_read_;
        }
      }
      const Command command = AnyCommand(host->machine);
      if (const auto index = replica.Propose(wire::Encode(command))) {
        host->proposals[*index] = {replica.term(), command};
      }
    }
  }

  Command AnyCommand(const StateMachine& machine) {
    const ConfigRecord* active = machine.config().active();
    const ConfigRecord* staged = machine.config().staged();
    const Revision base = active == nullptr ? Revision() : active->revision;
    switch (Below(4)) {
      case 0: {
        // Sent again and again, with whatever base it was first given.
        const ChangeId change("c" + std::to_string(Below(40)));
        const auto [place, fresh] = bases_.try_emplace(change, base);
        return StageConfig{change, place->second, change.value, 8'000'000, 0};
      }
      case 1:
        if (staged != nullptr) {
          return ActivateConfig{staged->revision, 0};
        }
        [[fallthrough]];
      default: {
        ClaimKey claim;
        claim.key = {ServiceName("s"), "k" + std::to_string(Below(60))};
        claim.holder.attempt = {Incarnation(1), 1 + Below(1000)};
        claim.retention_us = 1'000'000'000;
        return claim;
      }
    }
  }

  // What the leader does about members that lost their disk.
  void Administer() {
    for (const auto& host : hosts_) {
      if (!host->replica || !host->replica->settled()) {
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
      if (const auto next = NextMembers(view, now_)) {
        host->replica->ProposeMembers(*next);
      }
    }
  }

  std::mt19937_64 random_;
  Time now_{std::chrono::seconds(1)};
  uint64_t next_id_ = 1;
  bool healed_ = false;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<ReplicaMessage> flying_;
  wire::KeeperMembers committed_members_;
  size_t lost_disks_ = 0;
  std::map<uint64_t, wire::ReplicaId> leader_of_term_;
  std::map<uint64_t, wire::LogEntry> committed_;
  std::map<ChangeId, Revision> bases_;
  std::map<ChangeId, std::pair<ChangeResult, Revision>> told_;
  std::map<wire::RequestKey, wire::ClaimHolder> winners_;
  Revision highest_read_;
};

}  // namespace ibisvalve::control
