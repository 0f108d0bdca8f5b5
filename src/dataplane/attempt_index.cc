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
  const auto known = requests_.find(id);
  CHECK(known != requests_.end()) << "attempt to remove is not in flight";
  auto& attempts = known->second->attempts;
  const auto found =
      std::find_if(attempts.begin(), attempts.end(),
                   [&](const auto& attempt) { return attempt->id == id; });
  std::unique_ptr<IngressAttempt> removed = std::move(*found);
  attempts.erase(found);
  requests_.erase(known);
  return removed;
}

AttemptIndex::Found AttemptIndex::Find(const AttemptId& id) const {
  const auto known = requests_.find(id);
  if (known == requests_.end()) {
    return {};
  }
  for (const auto& attempt : known->second->attempts) {
    if (attempt->id == id) {
      return {known->second, attempt.get()};
    }
  }
  return {};
}

std::vector<AttemptId> AttemptIndex::Select(
    const std::function<bool(const IngressAttempt&)>& wanted) const {
  std::vector<AttemptId> selected;
  for (const auto& [id, request] : requests_) {
    const Found found = Find(id);
    if (found.attempt != nullptr && wanted(*found.attempt)) {
      selected.push_back(id);
    }
  }
  return selected;
}

}  // namespace ibisvalve::dataplane
