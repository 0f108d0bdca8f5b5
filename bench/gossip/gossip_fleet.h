#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "membership/membership.h"

namespace ibisvalve::bench {

/// Behaviour of the simulated network. `loss` and `duplication` are the
/// probabilities that a datagram is lost or duplicated.
struct NetworkConditions {
  double loss = 0;
  double duplication = 0;
  Duration min_delay = std::chrono::milliseconds(1);
  /// If this exceeds `min_delay`, datagrams are reordered.
  Duration max_delay = std::chrono::milliseconds(1);
};

/// Simulates many nodes that run the membership protocol on an in-memory
/// network with virtual time.
class GossipFleet {
 public:
  GossipFleet(uint64_t seed,
              const NetworkConditions& network,
              const membership::TableSettings& table_settings = {})
      : network_(network), table_settings_(table_settings), random_(seed) {}

  /// Returns the announcement of node `index`. Nodes are distributed over
  /// `zones` availability zones in turn.
  static world::Member MakeMember(size_t index, size_t zones) {
    world::Member member;
    member.id = NodeId("node-" + std::to_string(index));
    member.incarnation = Incarnation(1000 + index);
    member.location = {RegionName("viti-levu"),
                       ZoneName("zone-" + std::to_string(index % zones))};
    member.gossip = {"10.0." + std::to_string(index / 250) + "." +
                         std::to_string(index % 250),
                     7000};
    member.mesh = {member.gossip.ip, 7001};
    member.admin = {"127.0.0.1", 7002};
    member.service = ServiceName("roomfinder");
    member.target = world::TargetState::kReady;
    member.slots = 20;
    return member;
  }

  /// Starts a node and removes a running one with the same endpoint.
  void Start(const world::Member& self,
             const membership::MembershipSettings& settings) {
    nodes_[self.gossip] = std::make_unique<membership::Gossip>(
        settings, self, random_(), table_settings_);
    tick_ = settings.period / 4;
    ticking_[self.gossip] = sequence_;
    PushTick(self.gossip, sequence_,
             now_ + Duration(random_() % settings.period.count()));
  }

  /// Starts `count` nodes with the first two as seeds.
  void StartMany(size_t count, size_t zones) {
    membership::MembershipSettings settings;
    settings.seeds = {MakeMember(0, zones).gossip, MakeMember(1, zones).gossip};
    for (size_t i = 0; i < count; ++i) {
      Start(MakeMember(i, zones), settings);
    }
  }

  /// Stops a node without an announcement, as a crash does.
  void Kill(const world::Endpoint& node) {
    nodes_.erase(node);
    ticking_.erase(node);
  }

  /// Runs the simulation for `span`.
  void Run(Duration span) {
    const Time end = now_ + span;
    RunUntil(end, [] { return false; });
  }

  /// Runs the simulation until `done` holds, which is checked every 100 ms of
  /// virtual time, for at most `limit`. Returns the time taken, or nothing if
  /// `done` did not hold in time.
  std::optional<Duration> RunUntil(const std::function<bool()>& done,
                                   Duration limit) {
    const Time start = now_;
    return RunUntil(now_ + limit, done) ? std::optional<Duration>(now_ - start)
                                        : std::nullopt;
  }

  /// Sets the filter that returns whether a datagram is delivered. Without a
  /// filter, all are.
  void SetFilter(std::function<bool(const world::Endpoint& from,
                                    const world::Endpoint& to)> filter) {
    filter_ = std::move(filter);
  }
  /// Changes the behaviour of the network for datagrams sent from now on.
  void SetNetwork(const NetworkConditions& network) { network_ = network; }

  /// Delivers a datagram with `bytes` to `to` after `delay`.
  void Inject(const world::Endpoint& from,
              const world::Endpoint& to,
              const std::string& bytes,
              Duration delay) {
    queue_.push({now_ + delay, sequence_++, from, to, bytes, 0});
  }

  membership::Gossip& At(const world::Endpoint& node) {
    return *nodes_.at(node);
  }
  membership::Gossip& At(size_t index) {
    return At(MakeMember(index, 1).gossip);
  }
  const std::map<world::Endpoint, std::unique_ptr<membership::Gossip>>& nodes()
      const {
    return nodes_;
  }
  /// Returns the virtual time.
  Time now() const { return now_; }
  /// Carries out the actions returned by a call on `node`.
  void Perform(const world::Endpoint& node,
               const membership::GossipActions& actions) {
    for (const membership::Datagram& datagram : actions.datagrams) {
      largest_ = std::max(largest_, datagram.bytes.size());
      SendOne(node, datagram);
    }
    for (const world::Member& member : actions.changed) {
      ++changes_;
      if (on_change_) {
        on_change_(node, member);
      }
    }
    for (const membership::IdentityClash& clash : actions.clashes) {
      clashes_.emplace_back(node, clash);
    }
    if (actions.left) {
      left_.insert(node);
    }
  }

  /// Returns whether every node has as many live members as there are running
  /// nodes, and all nodes have the same digest.
  bool Converged() const {
    for (const auto& [endpoint, node] : nodes_) {
      if (node->table().live() != nodes_.size() ||
          node->table().digest() != nodes_.begin()->second->table().digest()) {
        return false;
      }
    }
    return true;
  }
  /// Returns whether all nodes other than `id` have it in `state`.
  bool AllSee(const NodeId& id, world::MemberState state) const {
    for (const auto& [endpoint, node] : nodes_) {
      const world::Member* seen = node->table().Find(id);
      if (node->self().id != id && (seen == nullptr || seen->state != state)) {
        return false;
      }
    }
    return true;
  }

  /// Returns the size of the largest datagram sent so far, in bytes.
  size_t largest_datagram() const { return largest_; }
  /// Returns the number of member changes reported by all nodes so far.
  uint64_t changes() const { return changes_; }
  /// Returns all identity clashes with the endpoints of the reporting nodes.
  const std::vector<std::pair<world::Endpoint, membership::IdentityClash>>&
  clashes() const {
    return clashes_;
  }
  /// Returns whether the node has reported that its leaving is complete.
  bool HasLeft(const world::Endpoint& node) const {
    return left_.contains(node);
  }
  /// Sets the callback for each member change that a node reports.
  void OnChange(std::function<void(const world::Endpoint&,
                                   const world::Member&)> callback) {
    on_change_ = std::move(callback);
  }

 private:
  struct ScheduledEvent {
    Time due;
    uint64_t sequence;
    world::Endpoint from;
    world::Endpoint to;
    std::string bytes;  // empty for a tick of `to`
    uint64_t run = 0;   // run of the node that ticks

    bool operator>(const ScheduledEvent& other) const {
      return std::tie(due, sequence) > std::tie(other.due, other.sequence);
    }
  };

  bool Occurs(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }

  void SendOne(const world::Endpoint& from,
               const membership::Datagram& datagram) {
    if (filter_ && !filter_(from, datagram.to)) {
      return;
    }
    const int copies = Occurs(network_.duplication) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (Occurs(network_.loss)) {
        continue;
      }
      const auto spread = (network_.max_delay - network_.min_delay).count();
      const Duration delay =
          network_.min_delay +
          Duration(spread > 0 ? random_() % static_cast<uint64_t>(spread) : 0);
      queue_.push(
          {now_ + delay, sequence_++, from, datagram.to, datagram.bytes, 0});
    }
  }

  bool RunUntil(Time end, const std::function<bool()>& done) {
    Time next_check = now_;
    while (!queue_.empty() && queue_.top().due < end) {
      if (now_ >= next_check) {
        if (done()) {
          return true;
        }
        next_check = now_ + std::chrono::milliseconds(100);
      }
      Step();
    }
    now_ = end;
    return done();
  }

  // Advances the virtual time to the next event and processes it.
  void Step() {
    const ScheduledEvent event = queue_.top();
    queue_.pop();
    now_ = std::max(now_, event.due);
    const auto node = nodes_.find(event.to);
    if (node == nodes_.end()) {
      return;
    }
    if (!event.bytes.empty()) {
      Perform(event.to, node->second->Receive(event.from, event.bytes, now_));
    } else if (ticking_.at(event.to) == event.run) {
      PushTick(event.to, event.run, now_ + tick_);
      Perform(event.to, node->second->Tick(now_));
    }
  }

  void PushTick(const world::Endpoint& node, uint64_t run, Time due) {
    queue_.push({due, sequence_++, {}, node, {}, run});
  }

  NetworkConditions network_;
  membership::TableSettings table_settings_;
  std::mt19937_64 random_;
  Time now_{std::chrono::seconds(100)};
  Duration tick_{0};
  std::map<world::Endpoint, std::unique_ptr<membership::Gossip>> nodes_;
  std::map<world::Endpoint, uint64_t> ticking_;  // current run of each node
  std::priority_queue<ScheduledEvent,
                      std::vector<ScheduledEvent>,
                      std::greater<>>
      queue_;
  uint64_t sequence_ = 0;
  std::function<bool(const world::Endpoint&, const world::Endpoint&)> filter_;
  std::function<void(const world::Endpoint&, const world::Member&)> on_change_;
  size_t largest_ = 0;
  uint64_t changes_ = 0;
  std::vector<std::pair<world::Endpoint, membership::IdentityClash>> clashes_;
  std::set<world::Endpoint> left_;
};

}  // namespace ibisvalve::bench
