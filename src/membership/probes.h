#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "world/world.h"

namespace ibisvalve::membership {

/// A ping of this node that waits for its answer.
struct Probe {
  NodeId target;
  Incarnation incarnation;
  world::Endpoint endpoint;
  Time sent;
  bool farewell = false;  // carries the news that this node leaves
  bool indirect = false;  // others were asked to ping, too

  auto operator<=>(const Probe&) const = default;
};

/// A ping that this node made for another one.
struct Relay {
  world::Endpoint origin;
  uint64_t number = 0;  // of the origin's ping
  Time sent;

  auto operator<=>(const Relay&) const = default;
};

/// The pings that wait for an answer, by number.
class Probes {
 public:
  /// Returns a number for a ping whose answer is of no interest.
  uint64_t NewNumber() { return next_number_++; }
  /// Notes a ping and returns its number.
  uint64_t Add(Probe probe);
  /// Notes a relayed ping and returns its number, or nothing when there are
  /// too many.
  std::optional<uint64_t> AddRelay(Relay relay);
  /// Ends the ping that `subject` has answered.
  std::optional<Probe> Answered(uint64_t number, const NodeId& subject);
  /// Ends the relayed ping that was answered.
  std::optional<Relay> RelayAnswered(uint64_t number);
  /// Returns, once each, the pings older than `age` that no others were asked
  /// to make yet.
  std::vector<std::pair<uint64_t, Probe>> TakeSlow(Time now, Duration age);
  /// Ends and returns the pings older than `age`; relays of that age are
  /// dropped.
  std::vector<Probe> TakeFailed(Time now, Duration age);

  /// Ends every ping without a result.
  void Clear();

 private:
  uint64_t next_number_ = 1;
  std::map<uint64_t, Probe> probes_;
  std::map<uint64_t, Relay> relays_;
};

}  // namespace ibisvalve::membership
