#pragma once

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "dataplane/request_state.h"

namespace ibisvalve::dataplane {

using RequestPtr = std::shared_ptr<RequestState>;

/// Index of an ingress's attempts in flight by attempt id.
class AttemptIndex {
 public:
  struct Found {
    RequestPtr request;                 // null if there is no such attempt
    IngressAttempt* attempt = nullptr;  // valid until the attempt is removed
  };

  /// Adds `attempt` to `request` and to the index, and returns it.
  IngressAttempt& Add(const RequestPtr& request,
                      std::unique_ptr<IngressAttempt> attempt);
  /// Removes the attempt `id` and returns it. The attempt must be in flight.
  std::unique_ptr<IngressAttempt> Remove(const AttemptId& id);
  /// Returns the attempt `id` and its request; both null if it is not in
  /// flight.
  Found Find(const AttemptId& id) const;
  /// Returns the ids of the attempts for which `predicate` returns true.
  std::vector<AttemptId> Select(
      const std::function<bool(const IngressAttempt&)>& predicate) const;

 private:
  std::unordered_map<AttemptId, RequestPtr> requests_;
};

}  // namespace ibisvalve::dataplane
