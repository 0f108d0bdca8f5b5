#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "membership/membership_settings.h"  // IWYU pragma: export
#include "net/net.h"
#include "world/world.h"

namespace ibisvalve::membership {

/// Announces this node and learns of all others by gossip.
class MembershipService {
 public:
  /// Told of each member that is new or changed, this node included.
  using Observer = std::function<void(const world::Member& member)>;

  /// Binds to self.gossip (port 0 picks one) and starts. Throws SystemError.
  MembershipService(net::EventLoop& loop,
                    const MembershipSettings& settings,
                    const world::Member& self,
                    Observer observer);
  ~MembershipService();

  /// Announces a changed target of this node.
  void SetTarget(const ServiceName& service,
                 world::TargetState state,
                 uint32_t slots);
  /// Other seeds help to find the fleet from now on.
  void SetSeeds(const std::vector<world::Endpoint>& seeds);
  /// Says goodbye; the process may end once `done` is called.
  void Leave(std::function<void()> done);
  /// Returns every member known, this node included, by id.
  const std::map<NodeId, world::Member>& members() const;
  /// Returns this node as announced, with its real gossip port.
  const world::Member& self() const;
  /// Returns whether a newer process with the same id has taken over; this one
  /// announces itself no more.
  bool replaced() const;
  /// Returns how many bytes were sent so far.
  uint64_t sent_bytes() const;
  /// Appends what /metrics shows of this part to `out`.
  void Collect(std::vector<MetricSample>& out) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ibisvalve::membership
