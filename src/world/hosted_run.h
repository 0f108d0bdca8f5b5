#pragma once

#include <compare>
#include <cstdint>

#include "base/base.h"

namespace ibisvalve::world {

/// The run of a host's target, as the host's node announces it. It outlives the
/// node's process in the records of other members, so that they can tell
/// whether the target ended together with that process.
struct HostedRun {
  Incarnation since;    // of the process that heard of the run first
  uint32_t number = 0;  // of the run, counted by that process
  Digest run;           // of its start and identity; 0: none is known
  // The latest process that has heard from the run more than once. A single
  // announcement may be a late one of a run that has ended.
  Incarnation confirmed;

  auto operator<=>(const HostedRun&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(since, number, run, confirmed);
  }
};

/// Returns the later of two announcements about the target of one host, which
/// may be of different processes of its node. Can be applied in any order.
HostedRun Latest(const HostedRun& a, const HostedRun& b);

/// Returns whether the target of a host outlived the end of the process
/// `ended` of its node.
bool Outlived(const HostedRun& hosted, Incarnation ended);

}  // namespace ibisvalve::world
