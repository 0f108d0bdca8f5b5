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

/// What the leader knows of one run of a node.
struct NodeSession {
  wire::FollowKeeper node;
  wire::NodeReport report;
  std::string status;  // JSON object
  Time since{};        // when the present revision was first reported
  Time lease_until{};  // at the latest, as the leader counts

  auto operator<=>(const NodeSession&) const = default;
};

/// Decides when a staged file is put in force or given up. Only the leader has
/// one that matters. Pure.
class ActivationTracker {
 public:
  using Key = std::pair<NodeId, Incarnation>;
  using Decision = std::variant<ActivateConfig, WithdrawConfig>;

  /// This replica leads from now on. Leases of up to `lease` that an earlier
  /// leader granted are not known here, so nothing is decided before they have
  /// run out.
  void Lead(Duration lease, Time now);
  /// `revision` is staged from now on; 0: nothing is.
  void Stage(Revision revision, Time now);
  /// A node said how far it is.
  void Heard(const wire::SessionReport& report, Time now);
  /// A confirmation goes out to a node: its lease ends by `now` + `lease`.
  void Granted(const Key& key, Duration lease, Time now);
  /// A node said goodbye.
  void Left(const Key& key);
  /// Returns what to propose now, once for each staged file.
  std::optional<Decision> Decide(Time now);
  /// Forgets nodes that have been silent for very long.
  void Expire(Time now);

  /// Returns whether an activation was decided and is not committed yet; no
  /// lease may be granted meanwhile.
  bool activating() const { return activating_; }
  /// Returns every session, those without a lease included.
  const std::map<Key, NodeSession>& sessions() const { return sessions_; }

 private:
  std::vector<NodeId> Refusers(std::string& why, Time now) const;
  std::vector<NodeId> Missing(Time now) const;

  std::map<Key, NodeSession> sessions_;
  Revision staged_;
  Time staged_at_{};
  Time blind_until_{};
  bool activating_ = false;
  bool decided_ = false;
};

}  // namespace ibisvalve::control
