#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "dataplane/fleet_view.h"
#include "dataplane/node_plane.h"
#include "dataplane/service_policies.h"
#include "policy/policy.h"
#include "wire/wire.h"

namespace ibisvalve::dataplane {

/// What this ingress knows of each gate, and its choice among them.
class CandidateTable {
 public:
  /// Both references must outlive the table.
  CandidateTable(const PlaneSettings& settings, const FleetView& view);

  /// Picks a target of `service` outside `tried` by `policy`, for a request
  /// with `terms`; nothing where none is left.
  struct Choice {
    NodeId gate;
    bool has_alternative = false;  // another would do nearly as well
    bool worth_trying = true;      // the answer may come in time there
  };
  std::optional<Choice> Choose(const world::Service& service,
                               ServicePolicy& policy,
                               const policy::RequestTerms& terms,
                               const std::set<NodeId>& tried,
                               Time now);
  /// Returns the last hint of `gate` and its age in milliseconds, for logs.
  std::pair<wire::LoadHint, uint64_t> LastHint(const NodeId& gate,
                                               Time now) const;
  /// A link to `gate` went silent or could not be opened: it is left alone for
  /// a while, longer each time until it is heard of again.
  void OnUnreachable(const NodeId& gate, Time now);
  /// A gate has told its load.
  void OnHint(const NodeId& gate, const wire::LoadHint& hint, Time now);
  /// An attempt is in flight at `gate` from now on, or no longer.
  /// Deals the requests of routes out to their services.
  policy::WeightedRoundRobin& shares() { return shares_; }
  policy::Random& random() { return random_; }
  void Begin(const NodeId& gate) { ++known_[gate].in_flight; }
  void End(const NodeId& gate) { --known_[gate].in_flight; }

 private:
  struct Known {
    uint32_t in_flight = 0;  // from this ingress
    wire::LoadHint hint;
    std::optional<Time> hint_time;
    std::optional<Time> ready_since;
    Time avoid_until{};
    Duration avoided{0};  // the last time; 0: it was heard of since
  };

  policy::Candidate CandidateFor(const world::Service& service,
                                 const world::Member& member,
                                 Time now);

  const PlaneSettings& settings_;
  const FleetView& view_;
  std::map<NodeId, Known> known_;
  policy::ExpectedValueChooser by_value_;
  policy::Random random_;
  policy::WeightedRoundRobin shares_{random_};
};

}  // namespace ibisvalve::dataplane
