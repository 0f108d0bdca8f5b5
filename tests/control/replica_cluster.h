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
  explicit ReplicaCluster(uint64_t seed, size_t size) : random_(seed) {
    // Each seed has its own fault rates, so that rare interleavings occur.
    storm_.crash = 0.03 * Unit() * Unit();
    storm_.crash_in_sync = 0.02 * Unit() * Unit();
    storm_.restart = 0.02 + 0.4 * Unit();
    storm_.pause = 0.02 * Unit() * Unit();
    storm_.cut = 0.03 * Unit() * Unit();
    storm_.lose = 0.3 * Unit() * Unit();
    storm_.delay = 0.8 * Unit();
    storm_.lose_disk = 0.006 * Unit();
    storm_.skip_tick = 0.5 * Unit();
    wire::KeeperMembers founding{wire::GroupId(1), {}};
    for (size_t slot = 0; slot < size; ++slot) {
      hosts_.push_back(std::make_unique<Host>());
      hosts_[slot]->disk.id = NewId();
      hosts_[slot]->clock_rate = 0.4 + 1.2 * Unit();
      founding.members.push_back(MemberAt(slot, true));
    }
    for (size_t slot = 0; slot < size; ++slot) {
      Start(slot);
      hosts_[slot]->replica->Found(founding, TimeAt(slot));
      Persist(*hosts_[slot], hosts_[slot]->replica->Take(TimeAt(slot)));
      hosts_[slot]->replica->Synced();
    }
    committed_members_ = founding;
  }

  /// Advances the simulation by 10 ms, with the faults drawn from the seed.
  void Step() {
    now_ += std::chrono::milliseconds(10);
    if (!healed_) {
      Clients();
    }
    for (size_t slot = 0; slot < hosts_.size(); ++slot) {
      Fault(slot);
      if (Runs(slot) && (healed_ || !Chance(storm_.skip_tick))) {
        hosts_[slot]->replica->Tick(TimeAt(slot));
        Perform(slot);
      }
    }
    Deliver();
    Administer();
  }

  /// Ends fault injection: every replica runs, and every message arrives.
  void Heal() {
    healed_ = true;
    cut_until_.clear();
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

  size_t granted() const { return winners_.size(); }
  size_t leaders() const { return leader_of_term_.size(); }
  size_t lost_disks() const { return lost_disks_; }
  Revision highest_read() const { return highest_read_; }

 private:
  // Probabilities per host and step, or per message.
  struct Storm {
    double crash, crash_in_sync, restart, pause, cut, lose, delay, lose_disk,
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
  double Unit() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  bool Chance(double share) { return Unit() < share; }
  // Each host has a clock with its own rate.
  Time TimeAt(size_t slot) const {
    return Time(Duration(static_cast<Duration::rep>(
        static_cast<double>(now_.time_since_epoch().count()) *
        hosts_[slot]->clock_rate)));
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
        host.disk.log, TimeAt(slot));
    host.reads.clear();
    host.proposals.clear();
  }

  void Fault(size_t slot) {
    Host& host = *hosts_[slot];
    if (healed_) {
      return;
    }
    if (!host.replica) {
      if (Chance(storm_.restart)) {
        Start(slot);
      }
      return;
    }
    if (Chance(storm_.crash)) {
      host.replica.reset();  // loses its unsynced actions
    } else if (Chance(storm_.pause)) {
      host.paused_until = now_ + std::chrono::milliseconds(50 + Below(1500));
    } else if (Chance(storm_.cut)) {
      // Cuts one direction only; another draw may cut the other direction.
      cut_until_[{slot, Below(hosts_.size())}] =
          now_ + std::chrono::milliseconds(50 + Below(1500));
    } else if (Chance(storm_.lose_disk) && MayLoseDisk()) {
      ++lost_disks_;
      host.disk = Disk{NewId(), {}, ""};
      Start(slot);
    } else if (Chance(0.02)) {
      CompactLog(host);
    }
  }

  // Another disk may be lost only after the previous one has been replaced.
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
      ReplicaActions actions = host.replica->Take(TimeAt(slot));
      if (actions.empty()) {
        return;
      }
      NoteLeader(host);
      Send(actions.early);
      if (!healed_ && Chance(storm_.crash_in_sync)) {
        host.replica.reset();  // before the sync
        return;
      }
      Persist(host, actions);
      host.replica->Synced();
      if (!healed_ && Chance(storm_.crash_in_sync)) {
        host.replica.reset();  // after the sync, before the replies
        return;
      }
      Send(actions.messages);
      for (const wire::LogEntry& entry : actions.committed) {
        Apply(host, entry);
      }
      FinishReads(host, actions);
      for (const wire::ReplicaId peer : actions.behind) {
        host.replica->OfferSnapshot(peer, host.machine.applied(),
                                    host.machine.Save(), TimeAt(slot));
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
        << "two leaders in term " << host.replica->term();
  }

  void Apply(Host& host, const wire::LogEntry& entry) {
    const auto [place, fresh] = committed_.try_emplace(entry.index, entry);
    EXPECT_EQ(place->second, entry)
        << "different entries committed at the same index";
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

  // Checks that the result given to a proposer agrees with all earlier results
  // for the same change or key.
  void NoteAnswer(const Command& command, const CommandResult& result) {
    if (const auto* stage = std::get_if<StageConfig>(&command)) {
      const auto& answer = std::get<ChangeAnswer>(result);
      const bool accepted = answer.result == ChangeResult::kStaged ||
                            answer.result == ChangeResult::kActive;
      const auto told = std::pair(
          accepted ? ChangeResult::kStaged : answer.result, answer.revision);
      const auto [place, fresh] = told_.try_emplace(stage->change, told);
      EXPECT_EQ(place->second, told)
          << "two different answers to the same change";
    } else if (const auto* claim = std::get_if<ClaimKey>(&command)) {
      if (std::get<wire::ClaimReply>(result).verdict ==
          wire::ClaimVerdict::kGranted) {
        const auto [place, fresh] =
            winners_.try_emplace(claim->key, claim->holder);
        EXPECT_EQ(place->second, claim->holder)
            << "two holders of the same key";
      }
    }
  }

  void FinishReads(Host& host, const ReplicaActions& actions) {
    for (const uint64_t token : actions.reads) {
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
      if (!healed_ && (Chance(storm_.lose) || IsCut(message))) {
        continue;  // lost
      }
      if (!healed_ && Chance(storm_.delay)) {
        flying_.push_back(message);  // delayed
        continue;
      }
      if (!healed_ && Chance(0.03)) {
        flying_.push_back(message);  // duplicated
      }
      for (size_t slot = 0; slot < hosts_.size(); ++slot) {
        if (Runs(slot)) {
          hosts_[slot]->replica->Receive(message, TimeAt(slot));
          Perform(slot);
        }
      }
    }
  }

  bool IsCut(const ReplicaMessage& message) const {
    const auto ends = std::visit(
        [](const auto& typed) { return std::pair(typed.from, typed.to); },
        message);
    return std::any_of(
        cut_until_.begin(), cut_until_.end(), [&](const auto& cut) {
          return now_ < cut.second &&
                 hosts_[cut.first.first]->disk.id == ends.first &&
                 (hosts_[cut.first.second]->disk.id == ends.second ||
                  cut.first.first == cut.first.second);  // cut from all hosts
        });
  }

  void Clients() {
    for (size_t slot = 0; slot < hosts_.size(); ++slot) {
      Host* host = hosts_[slot].get();
      if (!Runs(slot) || !host->replica->leading() || !Chance(0.3)) {
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
      // Performs the actions at once, usually before the next tick can detect
      // that leadership was lost.
      Perform(slot);
    }
  }

  Command AnyCommand(const StateMachine& machine) {
    const ConfigRecord* active = machine.config().active();
    const ConfigRecord* staged = machine.config().staged();
    const Revision base = active == nullptr ? Revision() : active->revision;
    switch (Below(4)) {
      case 0: {
        // The same change is sent repeatedly, always with its first base.
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

  // Proposes the membership changes with which the leader replaces members that
  // lost their disk.
  void Administer() {
    for (size_t own = 0; own < hosts_.size(); ++own) {
      Host* host = hosts_[own].get();
      if (!Runs(own) || !host->replica->settled()) {
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
      if (const auto next = NextMembers(view, TimeAt(own))) {
        host->replica->ProposeMembers(*next);
      }
    }
  }

  std::mt19937_64 random_;
  Time now_{std::chrono::seconds(1)};
  uint64_t next_id_ = 1;
  bool healed_ = false;
  Storm storm_{};
  std::map<std::pair<size_t, size_t>, Time> cut_until_;
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
