#include "dataplane/target_registry.h"

#include <algorithm>
#include <utility>

namespace ibisvalve::dataplane {
namespace {

// Number of earlier runs whose late announcements can be recognized by their
// identity.
constexpr size_t kMaxPreviousIdentities = 64;

}  // namespace

world::TargetRun RunOf(const TargetAnnouncement& announcement) {
  return {announcement.started_ms, announcement.identity.empty()
                                       ? Digest()
                                       : DigestOf(announcement.identity)};
}

bool TargetRegistry::RecordDeparture(const world::TargetRun& run) {
  departed_ = std::max(departed_, run);
  if (!current_ || !HasDeparted(*current_) || current_->stopping) {
    return false;
  }
  const bool known = current_->state == world::TargetState::kDraining;
  current_->state = world::TargetState::kDraining;
  current_->stopping = true;
  return !known;
}

bool TargetRegistry::HasDeparted(const TargetAnnouncement& announcement) const {
  return departed_ != world::TargetRun() && RunOf(announcement) == departed_;
}

bool TargetRegistry::IsOlderThanDeparted(
    const TargetAnnouncement& announcement) const {
  return announcement.started_ms != 0 &&
         announcement.started_ms < departed_.started_ms;
}

bool TargetRegistry::Apply(const TargetAnnouncement& announcement) {
  if (HasDeparted(announcement) && !announcement.stopping) {
    TargetAnnouncement departing = announcement;
    departing.stopping = true;
    return Apply(departing);
  }
  if (IsOlderThanDeparted(announcement)) {
    return false;
  }
  if (!current_) {
    ++run_;
    current_ = announcement;
    if (announcement.stopping) {
      current_->state = world::TargetState::kDraining;
    }
    return true;
  }
  const bool same_identity = announcement.identity == current_->identity;
  const bool both_have_start =
      announcement.started_ms != 0 && current_->started_ms != 0;
  const bool same_run =
      same_identity &&
      (!both_have_start || announcement.started_ms == current_->started_ms);
  if (same_run) {
    return ApplyToCurrentRun(announcement);
  }
  if (announcement.stopping) {
    return false;  // belongs to an earlier run, or to one that was never seen
  }
  // The announcement is of another run; the run that started later is the
  // current one.
  const bool older = both_have_start
                         ? announcement.started_ms < current_->started_ms
                         : IsPreviousRun(announcement.identity);
  if (older) {
    return false;
  }
  if (!same_identity) {
    previous_identities_.push_back(current_->identity);
    if (previous_identities_.size() > kMaxPreviousIdentities) {
      previous_identities_.pop_front();
    }
  }
  ++run_;
  current_ = announcement;
  return true;
}

bool TargetRegistry::ApplyToCurrentRun(const TargetAnnouncement& announcement) {
  if (announcement.stopping) {
    current_->state = world::TargetState::kDraining;
    current_->stopping = true;
    return true;
  }
  const bool late =
      announcement.number != 0 && announcement.number <= current_->number;
  if (late && announcement.state == world::TargetState::kDraining &&
      current_->state != world::TargetState::kDraining) {
    // A run that drains does not get ready again, so this holds in any order.
    current_->state = world::TargetState::kDraining;
    return true;
  }
  const bool returns = !announcement.identity.empty() &&
                       current_->state == world::TargetState::kDraining &&
                       announcement.state != world::TargetState::kDraining;
  if (late || current_->stopping || returns) {
    return false;
  }
  current_ = announcement;
  return true;
}

bool TargetRegistry::IsPreviousRun(const std::string& identity) const {
  return std::find(previous_identities_.begin(), previous_identities_.end(),
                   identity) != previous_identities_.end();
}

}  // namespace ibisvalve::dataplane
