#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "world/world.h"

namespace ibisvalve::membership {

/// A ping that this node has sent and that has not been answered yet.
struct Probe {
  NodeId target;
  Incarnation incarnation;
  world::Endpoint endpoint;
  Time sent;
  bool announces_leave = false;
  world::DepartedRuns announces_departures{};
  bool indirect = false;  // other members were asked to ping the target

  auto operator<=>(const Probe&) const = default;
};

/// A ping that this node has sent on behalf of another node, the origin.
struct Relay {
  world::Endpoint origin;
  uint64_t number = 0;  // of the ping at the origin
  Time sent;

  auto operator<=>(const Relay&) const = default;
};

/// Tracks unanswered pings and relayed pings by number.
class Probes {
 public:
  /// Returns a number for a ping whose answer is not tracked.
  uint64_t NewNumber() { return next_number_++; }
  /// Records a ping and returns its number.
  uint64_t Add(Probe probe);
  /// Records a relayed ping and returns its number, or nothing if too many
  /// relayed pings are pending.
  std::optional<uint64_t> AddRelay(Relay relay);
  /// Removes and returns the ping with this number if it was sent to `subject`;
  /// returns nothing otherwise.
  std::optional<Probe> TakeAnswered(uint64_t number, const NodeId& subject);
  /// Removes and returns the relayed ping with this number, or returns nothing
  /// if there is none.
  std::optional<Relay> TakeAnsweredRelay(uint64_t number);
  /// Returns the pings that have been unanswered for `age` and for which no
  /// other members were asked yet, and marks them as indirect. Each ping is
  /// thus returned once.
  std::vector<std::pair<uint64_t, Probe>> TakeForIndirectProbe(Time now,
                                                               Duration age);
  /// Removes and returns the pings that have been unanswered for `age`. Drops
  /// relayed pings of that age.
  std::vector<Probe> TakeExpired(Time now, Duration age);

  /// Drops all pings and relayed pings.
  void Clear();

 private:
  uint64_t next_number_ = 1;
  std::map<uint64_t, Probe> probes_;
  std::map<uint64_t, Relay> relays_;
};

}  // namespace ibisvalve::membership
