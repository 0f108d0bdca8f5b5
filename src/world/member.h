#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "base/base.h"
#include "world/departed_runs.h"
#include "world/endpoint.h"
#include "world/hosted_run.h"

namespace ibisvalve::world {

/// State of a node as determined by the membership protocol.
enum class MemberState : uint8_t {
  kAlive,
  kSuspect,      // does not respond; may still refute the suspicion
  kUnreachable,  // its whole region or zone does not respond; kept as a member
  kDead,         // failed without leaving
  kLeft,         // left the fleet in an orderly way
};

/// State of a target as announced by its node.
enum class TargetState : uint8_t {
  kNone,      // the node has no target
  kStarting,  // announced, not ready for requests yet
  kReady,
  kDraining,  // takes no new requests; those in flight continue
  kDown,      // the node cannot reach it
};

/// Region and availability zone in which a process runs.
struct Location {
  RegionName region;
  ZoneName zone;

  auto operator<=>(const Location&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(region, zone);
  }
};

/// Announcement of a node about itself and its target.
struct Member {
  NodeId id;
  Incarnation incarnation;
  uint32_t version = 0;  // increases with each change of the announcement
  Location location;
  Endpoint gossip;   // UDP
  Endpoint mesh;     // TCP between nodes
  Endpoint admin;    // HTTP for operators
  Endpoint control;  // keepers only: TCP from keepers and nodes
  MemberState state = MemberState::kAlive;
  ServiceName service;  // empty: the node has no target
  TargetState target = TargetState::kNone;
  uint32_t slots = 0;  // requests that the target can run concurrently
  // Runs of the target that have announced their departure. They are never used
  // again, also after a restart of the node.
  DepartedRuns departed;
  HostedRun hosted;  // the latest run of the target

  auto operator<=>(const Member&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, incarnation, version, location, gossip, mesh, admin, control,
            state, service, target, slots, departed, hosted);
  }
};

/// Returns the lower-case name of the state, as used in tables and logs.
std::string ToString(MemberState state);
std::string ToString(TargetState state);

/// Returns whether `member` is a keeper that is alive or suspect.
bool IsLiveKeeper(const Member& member);

/// Returns whether the process of `member` runs, as far as is known: it is
/// alive or suspect.
bool IsRunning(const Member& member);

/// Returns whether the end of the process `ended` of the node that `member` is
/// a record of was not the end of its target: the process left in an orderly
/// way, or the target runs on beside a later one.
bool TargetOutlived(const Member& member, Incarnation ended);

/// Returns whether `member` is alive or suspect and its target is ready for new
/// requests.
bool IsServing(const Member& member);

}  // namespace ibisvalve::world
