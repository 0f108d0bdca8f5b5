#include "dataplane/fleet_view.h"

#include <algorithm>
#include <random>
#include <utility>

namespace ibisvalve::dataplane {

void FleetView::SetFleet(std::shared_ptr<const world::Fleet> fleet,
                         Revision revision) {
  fleet_ = std::move(fleet);
  std::random_device device;
  workspace_keys_ =
      std::make_shared<const policy::WorkspaceKeys>(fleet_, device());
  revision_ = revision;
  if (on_fleet_) {
    on_fleet_();
  }
}

void FleetView::SetOnFleetChanged(std::function<void()> on_fleet) {
  on_fleet_ = std::move(on_fleet);
}

void FleetView::SetOnMemberChanged(
    std::function<void(const world::Member&)> on_member) {
  on_member_ = std::move(on_member);
}

void FleetView::SetLeaseCheck(std::function<bool()> is_held) {
  lease_held_ = std::move(is_held);
}

void FleetView::SetMember(const world::Member& member) {
  const auto known = members_.find(member.id);
  if (known != members_.end() && known->second.service != member.service) {
    std::erase(by_service_[known->second.service], member.id);
  }
  auto& ids = by_service_[member.service];
  if (std::find(ids.begin(), ids.end(), member.id) == ids.end()) {
    ids.push_back(member.id);
  }
  members_[member.id] = member;
  if (on_member_) {
    on_member_(member);
  }
}

bool FleetView::MayServe(world::Repeat repeat) const {
  if (fleet_ == nullptr) {
    return false;
  }
  if (lease_held_ && lease_held_()) {
    return true;
  }
  switch (fleet_->control.isolated) {
    case world::IsolatedPolicy::kRefuse:
      return false;
    case world::IsolatedPolicy::kServeReads:
      return repeat == world::Repeat::kAllowed;
    case world::IsolatedPolicy::kServe:
      return true;
  }
  return false;
}

const world::Member* FleetView::Find(const NodeId& id) const {
  const auto found = members_.find(id);
  return found == members_.end() ? nullptr : &found->second;
}

std::vector<const world::Member*> FleetView::Targets(
    const ServiceName& service) const {
  std::vector<const world::Member*> targets = Select(service, world::IsServing);
  std::erase_if(targets, [this](const world::Member* member) {
    return IsEvacuated(member->location.zone);
  });
  return targets;
}

std::vector<const world::Member*> FleetView::Gates(
    const ServiceName& service) const {
  return Select(service, world::IsRunning);
}

std::vector<const world::Member*> FleetView::Select(
    const ServiceName& service,
    bool (*wanted)(const world::Member&)) const {
  std::vector<const world::Member*> selected;
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) {
    return selected;
  }
  for (const NodeId& id : found->second) {
    const world::Member& member = members_.at(id);
    if (wanted(member)) {
      selected.push_back(&member);
    }
  }
  return selected;
}

}  // namespace ibisvalve::dataplane
