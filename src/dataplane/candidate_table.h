#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "dataplane/caller_identity.h"
#include "dataplane/fleet_view.h"
#include "dataplane/node_plane.h"
#include "dataplane/service_policies.h"
#include "policy/policy.h"
#include "wire/wire.h"

namespace ibisvalve::dataplane {

/// State that this ingress keeps of each gate, and the choice of a target for
/// each attempt.
class CandidateTable {
 public:
  /// `settings` and `view` must outlive the table.
  CandidateTable(const PlaneSettings& settings, const FleetView& view);

  /// Result of Choose.
  struct Choice {
    NodeId gate;
    bool has_alternative = false;  // another target is nearly as good
    bool worth_trying = true;      // it may respond before the deadline
  };
  /// Selects a target of `service` that is in one of `regions` and not in
  /// `tried`, by `policy`, for a request with `terms`. Returns std::nullopt if
  /// no target is left.
  std::optional<Choice> Choose(const world::Service& service,
                               ServicePolicy& policy,
                               const policy::RequestTerms& terms,
                               const AllowedRegions& regions,
                               const std::set<NodeId>& tried,
                               Time now);
  /// Returns the last hint of `gate` and its age in milliseconds, for logging.
  /// Returns a default hint and 0 if there has been none.
  std::pair<wire::LoadHint, uint64_t> LastHint(const NodeId& gate,
                                               Time now) const;
  /// Records that a link to `gate` went silent or could not be opened. The gate
  /// is avoided for a back-off time that doubles each time until OnHint.
  void OnUnreachable(const NodeId& gate, Time now);
  /// Records the load sent by `gate` and ends its back-off.
  void OnHint(const NodeId& gate, const wire::LoadHint& hint, Time now);
  /// Returns the rotation that distributes the requests of each route over the
  /// route's services.
  policy::WeightedRoundRobin& share_rotation() { return share_rotation_; }
  policy::Random& random() { return random_; }
  /// Records that an attempt at `gate` started or ended.
  void BeginAttempt(const NodeId& gate) { ++gates_[gate].in_flight; }
  void EndAttempt(const NodeId& gate) { --gates_[gate].in_flight; }

 private:
  struct GateState {
    uint32_t in_flight = 0;  // from this ingress
    wire::LoadHint hint;
    std::optional<Time> hint_time;
    std::optional<Time> ready_since;
    Time avoid_until{};
    Duration avoidance{0};  // last back-off; 0 after a hint
  };

  policy::Candidate CandidateFor(const world::Service& service,
                                 const world::Member& member,
                                 Time now);

  const PlaneSettings& settings_;
  const FleetView& view_;
  std::map<NodeId, GateState> gates_;
  policy::ExpectedValueChooser expected_value_chooser_;
  policy::Random random_;
  policy::WeightedRoundRobin share_rotation_{random_};
};

}  // namespace ibisvalve::dataplane
