#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "base/base.h"
#include "world/world.h"

namespace ibisvalve::dataplane {

/// Announcement of a target about its own state.
struct TargetAnnouncement {
  world::TargetState state = world::TargetState::kReady;
  uint32_t slots = 0;       // 0: as in the settings
  std::string identity;     // of this run of the target; empty: not given
  uint64_t started_ms = 0;  // wall-clock time of its start; 0: not given
  uint64_t number = 0;      // increases with each announcement of a run; 0: not
                            // given
  Duration cold_left{0};    // remaining warm-up time, during which it is slow
  bool stopping = false;    // this run is stopping and accepts no more work

  auto operator<=>(const TargetAnnouncement&) const = default;
};

/// Returns the run that an announcement belongs to.
world::TargetRun RunOf(const TargetAnnouncement& announcement);

/// Tracks the current run of the local target. Announcements may arrive out of
/// order: those of earlier runs, and outdated ones of the current run, are
/// ignored, except that the current run drains. Does no I/O and reads no clock.
class TargetRegistry {
 public:
  /// Applies an announcement. Returns false, and ignores it, if it is outdated
  /// or belongs to an earlier run.
  bool Apply(const TargetAnnouncement& announcement);
  /// Records that `run` has departed, as an earlier process of this node has
  /// learned. No announcement makes it ready again, and those of runs that
  /// started earlier are ignored. Returns whether it is the current run and was
  /// not known to depart.
  bool RecordDeparture(const world::TargetRun& run);
  /// Returns the number of the current run, counted from 1; 0 before the first.
  uint64_t run() const { return run_; }
  /// Returns the latest announcement of the current run; nothing before the
  /// first.
  const std::optional<TargetAnnouncement>& current() const { return current_; }

 private:
  bool ApplyToCurrentRun(const TargetAnnouncement& announcement);
  bool IsPreviousRun(const std::string& identity) const;

  bool HasDeparted(const TargetAnnouncement& announcement) const;
  bool IsOlderThanDeparted(const TargetAnnouncement& announcement) const;

  std::optional<TargetAnnouncement> current_;
  world::TargetRun departed_;  // as recorded by an earlier process
  uint64_t run_ = 0;
  std::deque<std::string> previous_identities_;  // identities of earlier runs
};

}  // namespace ibisvalve::dataplane
