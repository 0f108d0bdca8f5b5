#include "dataplane/target_registry.h"

#include <algorithm>
#include <utility>

namespace ibisvalve::dataplane {
namespace {

// Number of earlier runs whose late announcements can be recognized by their
// identity.
constexpr size_t kMaxFormer = 64;

}  // namespace

bool TargetRegistry::Take(const TargetAnnouncement& announcement) {
  if (!present_) {
    present_ = announcement;
    if (announcement.leaves) {
      present_->state = world::TargetState::kDraining;
    }
    return true;
  }
  const bool same_identity = announcement.identity == present_->identity;
  const bool both_dated =
      announcement.started_ms != 0 && present_->started_ms != 0;
  const bool same_run =
      same_identity &&
      (!both_dated || announcement.started_ms == present_->started_ms);
  if (same_run) {
    return TakeOfPresent(announcement);
  }
  if (announcement.leaves) {
    return false;  // belongs to an earlier run, or to one that was never seen
  }
  // The announcement is of another run; the run that started later is the
  // current one.
  const bool older = both_dated ? announcement.started_ms < present_->started_ms
                                : IsFormer(announcement.identity);
  if (older) {
    return false;
  }
  if (!same_identity) {
    former_.push_back(present_->identity);
    if (former_.size() > kMaxFormer) {
      former_.pop_front();
    }
  }
  present_ = announcement;
  return true;
}

bool TargetRegistry::TakeOfPresent(const TargetAnnouncement& announcement) {
  if (announcement.leaves) {
    present_->state = world::TargetState::kDraining;
    present_->leaves = true;
    return true;
  }
  const bool late =
      announcement.number != 0 && announcement.number <= present_->number;
  if (late || present_->leaves) {
    return false;
  }
  present_ = announcement;
  return true;
}

bool TargetRegistry::IsFormer(const std::string& identity) const {
  return std::find(former_.begin(), former_.end(), identity) != former_.end();
}

}  // namespace ibisvalve::dataplane
