#include "dataplane/target_registry.h"

#include <algorithm>
#include <utility>

namespace ibisvalve::dataplane {
namespace {

// Runs of the target whose late announcements are told apart.
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
    return false;  // of a run that was never seen here, or is past
  }
  // Another run: the one that started later stands here now.
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
