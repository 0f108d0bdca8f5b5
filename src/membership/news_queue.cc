#include "membership/news_queue.h"

#include <algorithm>

#include "membership/table_sync.h"

namespace ibisvalve::membership {

void NewsQueue::FillBatch(const MemberTable& table,
                          size_t max_bytes,
                          wire::MemberBatch& batch) {
  for (const NodeId& id : InOrder()) {
    const world::Member* member = table.Find(id);
    if (member != nullptr && !batch.Add(AsTold(*member), max_bytes)) {
      return;
    }
    Sent(id);
  }
}

std::vector<NodeId> NewsQueue::InOrder() const {
  std::vector<std::pair<uint32_t, NodeId>> order;
  order.reserve(left_.size());
  for (const auto& [id, times] : left_) {
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

void NewsQueue::Sent(const NodeId& id) {
  const auto found = left_.find(id);
  if (found != left_.end() && --found->second == 0) {
    left_.erase(found);
  }
}

void NewsQueue::SentAll() {
  for (auto it = left_.begin(); it != left_.end();) {
    it = --it->second == 0 ? left_.erase(it) : std::next(it);
  }
}

}  // namespace ibisvalve::membership
