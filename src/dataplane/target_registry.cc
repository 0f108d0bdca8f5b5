#include "dataplane/target_registry.h"

#include <algorithm>

namespace ibisvalve::dataplane {
namespace {

// Number of earlier runs whose late announcements can be recognized by their
// identity.
constexpr size_t kMaxPreviousRuns = 64;

}  // namespace

world::TargetRun RunOf(const TargetAnnouncement& announcement) {
  return {announcement.started_ms, announcement.identity.empty()
                                       ? Digest()
                                       : DigestOf(announcement.identity)};
}

bool IsDeparture(const TargetAnnouncement& announcement) {
  return announcement.stopping ||
         announcement.state == world::TargetState::kDraining;
}

bool TargetRegistry::Apply(const TargetAnnouncement& announcement) {
  if (IsOfCurrentRun(announcement)) {
    return ApplyToCurrentRun(announcement);
  }
  const std::optional<world::TargetRun> run = FindRun(announcement);
  const bool ends_current = IsDeparture(announcement) && run &&
                            RecordDepartures(world::DepartedRuns().With(*run));
  // A deregistration alone is no evidence that its run has replaced the current
  // one.
  const bool replaces =
      current_ ? !announcement.stopping && !IsOfEarlierRun(announcement)
               : !announcement.stopping || run;
  if (replaces) {
    StartRun(announcement);
  }
  return replaces || ends_current;
}

bool TargetRegistry::RecordDepartures(const world::DepartedRuns& runs) {
  departed_ = departed_.With(runs);
  if (!current_ || current_->stopping || !departed_.Names(RunOf(*current_))) {
    return false;
  }
  const bool known = current_->state == world::TargetState::kDraining;
  EndCurrentRun();
  return !known;
}

std::optional<world::TargetRun> TargetRegistry::FindRun(
    const TargetAnnouncement& announcement) const {
  const world::TargetRun named = RunOf(announcement);
  if (named.started_ms != 0) {
    return named;
  }
  if (IsOfCurrentRun(announcement)) {
    return RunOf(*current_);
  }
  const PreviousRun* previous = FindPrevious(named.identity);
  return previous == nullptr ? std::nullopt : std::optional(previous->run);
}

// Returns the last replaced run with this identity, or null.
const TargetRegistry::PreviousRun* TargetRegistry::FindPrevious(
    Digest identity) const {
  const auto found =
      std::find_if(previous_runs_.rbegin(), previous_runs_.rend(),
                   [&](const PreviousRun& previous) {
                     return previous.run.identity == identity;
                   });
  return found == previous_runs_.rend() ? nullptr : &*found;
}

bool TargetRegistry::IsOfCurrentRun(
    const TargetAnnouncement& announcement) const {
  return current_ && announcement.identity == current_->identity &&
         (announcement.started_ms == current_->started_ms ||
          announcement.started_ms == 0 || current_->started_ms == 0);
}

bool TargetRegistry::IsOfEarlierRun(
    const TargetAnnouncement& announcement) const {
  const bool both_have_start =
      announcement.started_ms != 0 && current_->started_ms != 0;
  if (both_have_start && announcement.started_ms != current_->started_ms) {
    return announcement.started_ms < current_->started_ms;
  }
  const PreviousRun* previous = FindPrevious(RunOf(announcement).identity);
  // Of two runs with the same start, the one that goes on announcing itself is
  // the later one.
  return previous != nullptr &&
         !(both_have_start && announcement.number > previous->number);
}

bool TargetRegistry::ApplyToCurrentRun(const TargetAnnouncement& announcement) {
  const bool draining = current_->state == world::TargetState::kDraining;
  const bool departs = IsDeparture(announcement);
  if (const auto run = FindRun(announcement); run && departs) {
    departed_ = departed_.With(*run);
  }
  if (announcement.stopping ||
      (!draining && departed_.Names(RunOf(announcement)))) {
    EndCurrentRun();
    return true;
  }
  const bool late =
      announcement.number != 0 && announcement.number <= current_->number;
  const bool returns = !announcement.identity.empty() && draining && !departs;
  if (late || current_->stopping || returns) {
    return false;
  }
  ++announcements_;
  current_ = announcement;
  return true;
}

void TargetRegistry::StartRun(const TargetAnnouncement& announcement) {
  if (current_) {
    previous_runs_.push_back({RunOf(*current_), current_->number});
    if (previous_runs_.size() > kMaxPreviousRuns) {
      previous_runs_.pop_front();
    }
  }
  ++run_;
  announcements_ = 1;
  current_ = announcement;
  if (announcement.stopping || departed_.Covers(RunOf(announcement))) {
    EndCurrentRun();
  }
}

void TargetRegistry::EndCurrentRun() {
  current_->state = world::TargetState::kDraining;
  current_->stopping = true;
}

}  // namespace ibisvalve::dataplane
