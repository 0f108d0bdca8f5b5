#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "base/base.h"
#include "world/endpoint.h"

namespace ibisvalve::world {

/// What the fleet believes of a node.
enum class MemberState : uint8_t {
  kAlive,
  kSuspect,      // silent; may still refute
  kUnreachable,  // held with its whole region or zone, not forgotten
  kDead,         // failed without saying goodbye
  kLeft,         // said goodbye
};

/// What the node beside a target says of it.
enum class TargetState : uint8_t {
  kNone,      // the node has no target
  kStarting,  // announced, not ready for work yet
  kReady,
  kDraining,  // no new work; work in flight goes on
  kDown,      // the node cannot reach it
};

/// Where a process runs.
struct Location {
  RegionName region;
  ZoneName zone;

  auto operator<=>(const Location&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(region, zone);
  }
};

/// What a node announces of itself and its target.
struct Member {
  NodeId id;
  Incarnation incarnation;
  uint32_t version = 0;  // grows with each change of the announcement
  Location location;
  Endpoint gossip;   // UDP
  Endpoint mesh;     // TCP between nodes
  Endpoint admin;    // HTTP for operators
  Endpoint control;  // keepers only: TCP for keepers and nodes
  MemberState state = MemberState::kAlive;
  ServiceName service;  // empty where the node has no target
  TargetState target = TargetState::kNone;
  uint32_t slots = 0;  // requests the target can run at once

  auto operator<=>(const Member&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, incarnation, version, location, gossip, mesh, admin, control,
            state, service, target, slots);
  }
};

/// Returns the lower-case name, as in tables and logs.
std::string ToString(MemberState state);
std::string ToString(TargetState state);

/// Returns whether `member` is a keeper that is there as far as is known.
bool IsLiveKeeper(const Member& member);

/// Returns whether `member` can be offered new work.
bool IsServing(const Member& member);

}  // namespace ibisvalve::world
