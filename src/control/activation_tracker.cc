#include "control/activation_tracker.h"

#include <algorithm>

namespace ibisvalve::control {
namespace {

// Time for every node with a lease to acknowledge a staged file. After that the
// file is withdrawn.
constexpr Duration kAcknowledgementTimeout = std::chrono::seconds(15);
// Retention of a session after the end of its lease.
constexpr Duration kSessionRetention = std::chrono::minutes(10);

}  // namespace

void ActivationTracker::StartTerm(Duration lease, Time now) {
  *this = ActivationTracker();
  earlier_leases_until_ = now + lease;
}

void ActivationTracker::SetStaged(Revision revision, Time now) {
  staged_ = revision;
  staged_at_ = now;
  decided_ = false;
  activating_ = false;
}

void ActivationTracker::RecordReport(const wire::SessionReport& report,
                                     Time now) {
  const wire::FollowKeeper& node = report.node;
  const auto [entry, inserted] =
      sessions_.try_emplace(Key(node.node, node.incarnation));
  NodeSession& session = entry->second;
  const wire::NodeReport& received = report.heartbeat.report;
  if (!inserted && received.number < session.report.number) {
    return;  // a newer report arrived first
  }
  if (inserted || received.active != session.report.active) {
    session.since = now;
  }
  session.node = node;
  session.reported = now;
  session.report = received;
  if (!report.heartbeat.status.empty()) {
    session.status = report.heartbeat.status;
  }
}

void ActivationTracker::RecordGrant(const Key& key, Duration lease, Time now) {
  const auto found = sessions_.find(key);
  if (found != sessions_.end()) {
    Time& until = found->second.lease_until;
    until = std::max(until, now + lease);
  }
}

void ActivationTracker::RemoveSession(const Key& key) {
  sessions_.erase(key);
}

std::optional<ActivationTracker::Decision> ActivationTracker::Decide(Time now) {
  if (staged_ == Revision() || decided_) {
    return std::nullopt;
  }
  std::string reason;
  std::vector<NodeId> hosts = RefusingNodes(reason, now);
  if (!hosts.empty()) {
    decided_ = true;
    return WithdrawConfig{staged_, reason, std::move(hosts), 0};
  }
  hosts = UnacknowledgedNodes(now);
  if (hosts.empty() && now >= earlier_leases_until_) {
    decided_ = true;
    activating_ = true;
    return ActivateConfig{staged_, 0};
  }
  if (!hosts.empty() && now >= staged_at_ + kAcknowledgementTimeout) {
    decided_ = true;
    return WithdrawConfig{staged_, "no acknowledgement in time",
                          std::move(hosts), 0};
  }
  return std::nullopt;
}

void ActivationTracker::RemoveExpired(Time now) {
  std::erase_if(sessions_, [&](const auto& entry) {
    return now >= entry.second.lease_until + kSessionRetention &&
           now >= entry.second.since + kSessionRetention;
  });
}

// Returns the nodes with a lease that have refused the staged file, and stores
// the first reason given in `reason`.
std::vector<NodeId> ActivationTracker::RefusingNodes(std::string& reason,
                                                     Time now) const {
  std::vector<NodeId> hosts;
  for (const auto& [key, session] : sessions_) {
    if (now < session.lease_until && session.report.refused == staged_) {
      hosts.push_back(key.first);
      reason = reason.empty() ? session.report.refusal_reason : reason;
    }
  }
  return hosts;
}

// Returns the nodes with a lease that have not acknowledged the staged file.
// Nodes whose lease has expired no longer serve requests and are not waited
// for.
std::vector<NodeId> ActivationTracker::UnacknowledgedNodes(Time now) const {
  std::vector<NodeId> hosts;
  for (const auto& [key, session] : sessions_) {
    const bool ready =
        session.report.staged == staged_ || session.report.active >= staged_;
    if (now < session.lease_until && !ready) {
      hosts.push_back(key.first);
    }
  }
  return hosts;
}

}  // namespace ibisvalve::control
