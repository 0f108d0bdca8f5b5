#include "control/activation_tracker.h"

#include <algorithm>

namespace ibisvalve::control {
namespace {

// Time for every node with a lease to acknowledge a staged file. After that the
// file is withdrawn.
constexpr Duration kPatience = std::chrono::seconds(15);
// Retention of a session after the end of its lease.
constexpr Duration kForget = std::chrono::minutes(10);

}  // namespace

void ActivationTracker::Lead(Duration lease, Time now) {
  *this = ActivationTracker();
  blind_until_ = now + lease;
}

void ActivationTracker::Stage(Revision revision, Time now) {
  staged_ = revision;
  staged_at_ = now;
  decided_ = false;
  activating_ = false;
}

void ActivationTracker::Heard(const wire::SessionReport& report, Time now) {
  const wire::FollowKeeper& node = report.node;
  const auto [place, fresh] =
      sessions_.try_emplace(Key(node.node, node.incarnation));
  NodeSession& session = place->second;
  const wire::NodeReport& news = report.heartbeat.report;
  if (!fresh && news.number < session.report.number) {
    return;  // a newer report arrived first
  }
  if (fresh || news.active != session.report.active) {
    session.since = now;
  }
  session.node = node;
  session.report = news;
  if (!report.heartbeat.status.empty()) {
    session.status = report.heartbeat.status;
  }
}

void ActivationTracker::Granted(const Key& key, Duration lease, Time now) {
  const auto found = sessions_.find(key);
  if (found != sessions_.end()) {
    Time& until = found->second.lease_until;
    until = std::max(until, now + lease);
  }
}

void ActivationTracker::Left(const Key& key) {
  sessions_.erase(key);
}

std::optional<ActivationTracker::Decision> ActivationTracker::Decide(Time now) {
  if (staged_ == Revision() || decided_) {
    return std::nullopt;
  }
  std::string why;
  std::vector<NodeId> hosts = Refusers(why, now);
  if (!hosts.empty()) {
    decided_ = true;
    return WithdrawConfig{staged_, why, std::move(hosts), 0};
  }
  hosts = Missing(now);
  if (hosts.empty() && now >= blind_until_) {
    decided_ = true;
    activating_ = true;
    return ActivateConfig{staged_, 0};
  }
  if (!hosts.empty() && now >= staged_at_ + kPatience) {
    decided_ = true;
    return WithdrawConfig{staged_, "no acknowledgement in time",
                          std::move(hosts), 0};
  }
  return std::nullopt;
}

void ActivationTracker::Expire(Time now) {
  std::erase_if(sessions_, [&](const auto& entry) {
    return now >= entry.second.lease_until + kForget &&
           now >= entry.second.since + kForget;
  });
}

// Returns the nodes with a lease that have refused the staged file, and stores
// the first reason given in `why`.
std::vector<NodeId> ActivationTracker::Refusers(std::string& why,
                                                Time now) const {
  std::vector<NodeId> hosts;
  for (const auto& [key, session] : sessions_) {
    if (now < session.lease_until && session.report.refused == staged_) {
      hosts.push_back(key.first);
      why = why.empty() ? session.report.refusal : why;
    }
  }
  return hosts;
}

// Returns the nodes with a lease that have not acknowledged the staged file.
// Nodes whose lease has expired no longer serve requests and are not waited
// for.
std::vector<NodeId> ActivationTracker::Missing(Time now) const {
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
