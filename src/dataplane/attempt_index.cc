#include "dataplane/attempt_index.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace ibisvalve::dataplane {

IngressAttempt& AttemptIndex::Add(const RequestPtr& request,
                                  std::unique_ptr<IngressAttempt> attempt) {
  IngressAttempt& added = *attempt;
  request->attempts.push_back(std::move(attempt));
  requests_[added.id] = request;
  return added;
}

std::unique_ptr<IngressAttempt> AttemptIndex::Remove(const AttemptId& id) {
  const auto entry = requests_.find(id);
  CHECK(entry != requests_.end()) << "attempt to remove is not in flight";
  auto& attempts = entry->second->attempts;
  const auto found =
      std::find_if(attempts.begin(), attempts.end(),
                   [&](const auto& attempt) { return attempt->id == id; });
  std::unique_ptr<IngressAttempt> removed = std::move(*found);
  attempts.erase(found);
  requests_.erase(entry);
  return removed;
}

AttemptIndex::Found AttemptIndex::Find(const AttemptId& id) const {
  const auto entry = requests_.find(id);
  if (entry == requests_.end()) {
    return {};
  }
  for (const auto& attempt : entry->second->attempts) {
    if (attempt->id == id) {
      return {entry->second, attempt.get()};
    }
  }
  return {};
}

std::vector<AttemptId> AttemptIndex::Select(
    const std::function<bool(const IngressAttempt&)>& predicate) const {
  std::vector<AttemptId> selected;
  for (const auto& [id, request] : requests_) {
    const Found found = Find(id);
    if (found.attempt != nullptr && predicate(*found.attempt)) {
      selected.push_back(id);
    }
  }
  return selected;
}

}  // namespace ibisvalve::dataplane
