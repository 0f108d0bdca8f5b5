#include "membership/update_queue.h"

#include <algorithm>

#include "membership/table_sync.h"

namespace ibisvalve::membership {

void UpdateQueue::FillBatch(const MemberTable& table,
                            size_t max_bytes,
                            wire::MemberBatch& batch) {
  for (const NodeId& id : IdsByPriority()) {
    const world::Member* member = table.Find(id);
    if (member != nullptr && !batch.Add(ToAnnouncement(*member), max_bytes)) {
      return;
    }
    CountTransmission(id);
  }
}

std::vector<NodeId> UpdateQueue::IdsByPriority() const {
  std::vector<std::pair<uint32_t, NodeId>> order;
  order.reserve(transmissions_left_.size());
  for (const auto& [id, times] : transmissions_left_) {
    order.emplace_back(times, id);
  }
  std::stable_sort(
      order.begin(), order.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<NodeId> ids;
  ids.reserve(order.size());
  for (auto& [times, id] : order) {
    ids.push_back(std::move(id));
  }
  return ids;
}

void UpdateQueue::CountTransmission(const NodeId& id) {
  const auto found = transmissions_left_.find(id);
  if (found != transmissions_left_.end() && --found->second == 0) {
    transmissions_left_.erase(found);
  }
}

void UpdateQueue::CountTransmissionOfAll() {
  for (auto it = transmissions_left_.begin();
       it != transmissions_left_.end();) {
    it = --it->second == 0 ? transmissions_left_.erase(it) : std::next(it);
  }
}

}  // namespace ibisvalve::membership
