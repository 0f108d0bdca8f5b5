#pragma once

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "dataplane/request_state.h"

namespace ibisvalve::dataplane {

using RequestPtr = std::shared_ptr<RequestState>;

/// Finds the attempts in flight of an ingress by their ids.
class AttemptIndex {
 public:
  struct Found {
    RequestPtr request;                 // null where there is none
    IngressAttempt* attempt = nullptr;  // valid until it is removed
  };

  /// Adds an attempt to `request` and returns it.
  IngressAttempt& Add(const RequestPtr& request,
                      std::unique_ptr<IngressAttempt> attempt);
  /// Removes an attempt, which must be there, and returns it.
  std::unique_ptr<IngressAttempt> Remove(const AttemptId& id);
  /// Returns the attempt `id` and its request.
  Found Find(const AttemptId& id) const;
  /// Returns the ids of the attempts that `wanted` picks.
  std::vector<AttemptId> Select(
      const std::function<bool(const IngressAttempt&)>& wanted) const;

 private:
  std::unordered_map<AttemptId, RequestPtr> requests_;
};

}  // namespace ibisvalve::dataplane
