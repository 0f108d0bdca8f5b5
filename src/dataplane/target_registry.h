#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "base/base.h"
#include "world/world.h"

namespace ibisvalve::dataplane {

/// What a target says of itself.
struct TargetAnnouncement {
  world::TargetState state = world::TargetState::kReady;
  uint32_t slots = 0;       // 0: as in the settings
  std::string identity;     // of this run of the target; empty: not told
  uint64_t started_ms = 0;  // wall clock of its start; 0: not told
  uint64_t number = 0;    // grows with each announcement of a run; 0: not told
  Duration cold_left{0};  // it stays slow for so long
  bool leaves = false;    // for good: this run takes no work again

  auto operator<=>(const TargetAnnouncement&) const = default;
};

/// Knows which run of the target stands beside this node. Announcements may be
/// late: one of an earlier run, or an older one of the present run, changes
/// nothing. Pure.
class TargetRegistry {
 public:
  /// Takes in an announcement; returns whether it is news of the present run,
  /// or of a newer one.
  bool Take(const TargetAnnouncement& announcement);
  /// Returns the newest announcement; nothing before the first.
  const std::optional<TargetAnnouncement>& present() const { return present_; }

 private:
  bool TakeOfPresent(const TargetAnnouncement& announcement);
  bool IsFormer(const std::string& identity) const;

  std::optional<TargetAnnouncement> present_;
  std::deque<std::string> former_;  // identities of earlier runs
};

}  // namespace ibisvalve::dataplane
