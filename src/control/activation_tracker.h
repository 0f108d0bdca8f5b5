#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "control/config_history.h"
#include "wire/wire.h"

namespace ibisvalve::control {

/// State of one incarnation of a node, as last reported to the leader.
struct NodeSession {
  wire::FollowKeeper node;
  wire::NodeReport report;
  std::string status;  // JSON object
  Time since{};        // first report of the active revision
  Time reported{};     // last report
  Time lease_until{};  // latest expiry, by the leader's clock

  auto operator<=>(const NodeSession&) const = default;
};

/// Decides when a staged file is activated or withdrawn. Only the leader's
/// tracker has any effect. Performs no I/O and reads no clock.
class ActivationTracker {
 public:
  using Key = std::pair<NodeId, Incarnation>;
  using Decision = std::variant<ActivateConfig, WithdrawConfig>;

  /// Resets the tracker when this replica becomes leader. Leases of up to
  /// `lease` that an earlier leader granted are unknown here, so no file is
  /// activated before they have expired.
  void StartTerm(Duration lease, Time now);
  /// Sets the staged revision and restarts the timeout for acknowledgements. 0
  /// means that no file is staged.
  void SetStaged(Revision revision, Time now);
  /// Records a node's report, unless a newer one was recorded before.
  void RecordReport(const wire::SessionReport& report, Time now);
  /// Records that a node is granted a lease, which ends by `now` + `lease`.
  void RecordGrant(const Key& key, Duration lease, Time now);
  /// Removes the session of a node that has left.
  void RemoveSession(const Key& key);
  /// Returns the decision to propose, at most once for each staged file.
  std::optional<Decision> Decide(Time now);
  /// Removes sessions whose lease ended, and whose active revision was first
  /// reported, at least 10 minutes ago.
  void RemoveExpired(Time now);

  /// Returns whether an activation has been decided and is not committed yet.
  /// No lease may be granted meanwhile.
  bool activating() const { return activating_; }
  /// Returns all sessions, including those without a lease.
  const std::map<Key, NodeSession>& sessions() const { return sessions_; }

 private:
  std::vector<NodeId> RefusingNodes(std::string& reason, Time now) const;
  std::vector<NodeId> UnacknowledgedNodes(Time now) const;

  std::map<Key, NodeSession> sessions_;
  Revision staged_;
  Time staged_at_{};
  Time earlier_leases_until_{};
  bool activating_ = false;
  bool decided_ = false;
};

}  // namespace ibisvalve::control
