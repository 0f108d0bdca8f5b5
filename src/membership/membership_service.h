#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "membership/membership_settings.h"  // IWYU pragma: export
#include "net/net.h"
#include "world/world.h"

namespace ibisvalve::membership {

/// Announces this node to the fleet and tracks all other nodes by gossip over
/// UDP. All methods must be called on the thread of the event loop, which also
/// runs the callbacks.
class MembershipService {
 public:
  /// Receives each new or changed member, including this node.
  using Observer = std::function<void(const world::Member& member)>;

  /// Binds a UDP socket to self.gossip (port 0 selects a free port) and starts
  /// the protocol. Throws SystemError if the socket cannot be bound.
  MembershipService(net::EventLoop& loop,
                    const MembershipSettings& settings,
                    const world::Member& self,
                    Observer observer);
  ~MembershipService();

  /// Announces a change of this node's service, target state or slots.
  void SetTarget(const ServiceName& service,
                 world::TargetState state,
                 uint32_t slots);
  /// Announces that `run` of this node's target departs. Calls `done(true)`
  /// once enough other members remember it to tell a later process of this
  /// node, or `done(false)` after 800 ms, or at once if it has no start and
  /// there is no room for it. The announcement goes on in any case.
  void RecordDeparture(const world::TargetRun& run,
                       std::function<void(bool recorded)> done);
  /// Announces the current run of this node's target, by its digest, after it
  /// has been heard from more than once.
  void SetHostedRun(Digest run);
  /// Replaces the seeds through which this node finds the fleet.
  void SetSeeds(const std::vector<world::Endpoint>& seeds);
  /// Announces that this node leaves. Calls `done` once enough peers have
  /// acknowledged it or a time-out has passed; then the process may exit.
  void Leave(std::function<void()> done);
  /// Returns all known members by id, including this node.
  const std::map<NodeId, world::Member>& members() const;
  /// Returns this node's announcement, with the gossip port that was bound.
  const world::Member& self() const;
  /// Returns whether another member has answered since the start. self() then
  /// includes what that member remembers of this node.
  bool joined() const;
  /// Returns whether a newer process with the same id has replaced this one,
  /// which then no longer takes part in the protocol.
  bool replaced() const;
  /// Returns the number of bytes sent so far, including IP and UDP headers.
  uint64_t sent_bytes() const;
  /// Appends the membership metrics for /metrics to `out`.
  void Collect(std::vector<MetricSample>& out) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ibisvalve::membership
