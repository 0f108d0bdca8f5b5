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

/// Returns whether the target announces that its run accepts no more work.
bool IsDeparture(const TargetAnnouncement& announcement);

/// A run of the local target and how often it has announced itself.
struct HeardRun {
  world::TargetRun run;
  uint64_t announcements = 0;

  auto operator<=>(const HeardRun&) const = default;
};

/// Tracks the current run of the local target, and which runs have departed.
/// Announcements may arrive out of order: those of earlier runs, and outdated
/// ones of the current run, are ignored, except that a departure holds for its
/// run whenever it arrives. Does no I/O and reads no clock.
class TargetRegistry {
 public:
  /// Applies an announcement. Returns whether it concerns the current run.
  /// Otherwise it is outdated or belongs to another run, and only a departure
  /// is remembered.
  bool Apply(const TargetAnnouncement& announcement);
  /// Records that `runs` have departed. No announcement makes them ready again.
  /// Returns whether the current run is one of them and was not known to
  /// depart.
  bool RecordDepartures(const world::DepartedRuns& runs);
  /// Returns the run that an announcement belongs to, with its start if that is
  /// known. Returns nothing if the announcement names no start and its identity
  /// is unknown, so that the run cannot be told from later ones.
  std::optional<world::TargetRun> FindRun(
      const TargetAnnouncement& announcement) const;
  /// Returns the number of the current run, counted from 1; 0 before the first.
  uint64_t run() const { return run_; }
  /// Returns how many announcements of the current run have been applied, each
  /// newer than the one before it if they are numbered; 0 before the first.
  uint64_t announcements() const { return announcements_; }
  /// Returns the latest announcement of the current run; nothing before the
  /// first.
  const std::optional<TargetAnnouncement>& current() const { return current_; }

 private:
  // A run that another one has replaced, with the number of its latest
  // announcement.
  struct PreviousRun {
    world::TargetRun run;
    uint64_t number = 0;
  };

  const PreviousRun* FindPrevious(Digest identity) const;
  bool IsOfCurrentRun(const TargetAnnouncement& announcement) const;
  bool IsOfEarlierRun(const TargetAnnouncement& announcement) const;
  bool ApplyToCurrentRun(const TargetAnnouncement& announcement);
  void StartRun(const TargetAnnouncement& announcement);
  void EndCurrentRun();

  std::optional<TargetAnnouncement> current_;
  world::DepartedRuns departed_;
  uint64_t run_ = 0;
  uint64_t announcements_ = 0;  // of the current run
  std::deque<PreviousRun> previous_runs_;
};

}  // namespace ibisvalve::dataplane
