#include "control/node_coordinator.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

#include "control/events.h"
#include "control/propagation.h"

namespace ibisvalve::control {
namespace {

constexpr Duration kDecisionInterval = std::chrono::milliseconds(50);
// How long a change may be held up by nodes that report but lag.
constexpr Duration kMaxPropagation = std::chrono::seconds(2);

std::string Join(const std::vector<NodeId>& nodes) {
  std::string joined;
  for (const NodeId& node : nodes) {
    joined += (joined.empty() ? "" : ",") + node.value;
  }
  return joined;
}

// Returns the longest lease that an earlier leader may have granted, under the
// active file or the one before it.
Duration LongestOutstandingLease(const ConfigHistory& config) {
  const ConfigRecord* active = config.active();
  if (active == nullptr) {
    return Duration(0);
  }
  const ConfigRecord* previous = config.Find(active->base);
  const uint64_t previous_us = previous == nullptr ? 0 : previous->lease_us;
  return Duration(
      static_cast<Duration::rep>(std::max(active->lease_us, previous_us)));
}

}  // namespace

Duration ActiveLease(const ConfigHistory& config) {
  const ConfigRecord* active = config.active();
  return active == nullptr
             ? world::ControlRules().lease
             : Duration(static_cast<Duration::rep>(active->lease_us));
}

NodeCoordinator::NodeCoordinator(net::EventLoop& loop, ReplicaDriver& driver)
    : loop_(loop), driver_(driver), decision_timer_(loop, [this] {
        Decide();
        FollowPropagation();
      }) {
  decision_timer_.StartPeriodic(kDecisionInterval);
}

void NodeCoordinator::OnReports(const wire::SessionReports& reports,
                                Reply reply) {
  if (!Ready()) {
    return;
  }
  const Time now = loop_.Now();
  for (const wire::LeaveKeeper& left : reports.left) {
    tracker_.RemoveSession({left.node, left.incarnation});
  }
  for (const wire::SessionReport& report : reports.sessions) {
    tracker_.RecordReport(report, now);
  }
  Decide();
  FollowPropagation();
  if (reports.sessions.empty()) {
    return;
  }
  driver_.Read([this, alive = alive_, term = term_,
                request = GrantRequest{reports.sessions, std::move(reply)}](
                   bool confirmed) {
    if (*alive && confirmed && Ready() && term == term_) {
      Grant(request);
    }
  });
}

void NodeCoordinator::OnRoleChange() {
  deferred_grants_.clear();
  term_ = 0;
  staged_ = Revision();
  propagating_ = Revision();
  propagated_ = true;
  tracker_ = ActivationTracker();
  for (const PropagationWaiter& waiter : std::exchange(waiters_, {})) {
    waiter.done(false);
  }
}

bool NodeCoordinator::OnApplied() {
  const Replica& replica = driver_.replica();
  // The state may be outdated until the first entry of this leader's term is
  // applied.
  const bool ready = replica.committed_in_term() &&
                     driver_.state().applied() >= replica.commit();
  const bool new_term = ready && term_ != replica.term();
  if (new_term) {
    term_ = replica.term();
    const ConfigHistory& config = driver_.state().config();
    tracker_.StartTerm(LongestOutstandingLease(config), loop_.Now());
    sessions_known_at_ =
        config.active() == nullptr ? Time() : loop_.Now() + kReportTimeout;
  }
  if (Ready()) {
    UpdateStaged();
    FollowPropagation();
  }
  return new_term;
}

bool NodeCoordinator::Ready() const {
  return term_ != 0 && driver_.replica().leading() &&
         driver_.replica().term() == term_;
}

void NodeCoordinator::Grant(const GrantRequest& request) {
  if (tracker_.activating()) {
    deferred_grants_.push_back(request);
    return;
  }
  const ConfigHistory& config = driver_.state().config();
  const Duration lease = ActiveLease(config);
  wire::SessionGrants grants;
  if (config.active() != nullptr) {
    grants.active = config.active()->revision;
    grants.lease_us = static_cast<uint64_t>(lease.count());
  }
  for (const wire::SessionReport& report : request.sessions) {
    const wire::FollowKeeper& node = report.node;
    tracker_.RecordGrant({node.node, node.incarnation}, lease, loop_.Now());
    grants.grants.push_back(wire::SessionGrant{
        node.node, node.incarnation, report.heartbeat.report.number,
        driver_.state().departures().Of(node.node)});
  }
  request.reply(grants);
}

void NodeCoordinator::GrantDeferred() {
  for (const GrantRequest& request : std::exchange(deferred_grants_, {})) {
    Grant(request);
  }
}

// Passes a change of the staged revision to the tracker.
void NodeCoordinator::UpdateStaged() {
  const ConfigRecord* staged = driver_.state().config().staged();
  const Revision revision = staged == nullptr ? Revision() : staged->revision;
  if (revision == staged_) {
    return;
  }
  staged_ = revision;
  tracker_.SetStaged(revision, loop_.Now());
  GrantDeferred();
  Decide();
}

void NodeCoordinator::Decide() {
  if (!Ready()) {
    return;
  }
  tracker_.RemoveExpired(loop_.Now());
  const auto decision = tracker_.Decide(loop_.Now());
  if (!decision) {
    return;
  }
  Command command;
  if (const auto* activate = std::get_if<ActivateConfig>(&*decision)) {
    command = ActivateConfig{activate->revision, WallMicros()};
  } else {
    WithdrawConfig withdraw = std::get<WithdrawConfig>(*decision);
    withdraw.at_us = WallMicros();
    command = std::move(withdraw);
  }
  driver_.Propose(command, [](const std::optional<CommandResult>&) {});
}

void NodeCoordinator::AwaitPropagation(Revision revision,
                                       std::function<void(bool)> done) {
  const Time since =
      revision == propagating_ ? propagating_since_ : loop_.Now();
  Await({{revision, 0}, false, since + kMaxPropagation, std::move(done)});
}

void NodeCoordinator::AwaitZones(uint64_t zones,
                                 bool all_leases,
                                 std::function<void(bool)> done) {
  const Duration limit =
      all_leases
          ? std::max(kMaxPropagation, ActiveLease(driver_.state().config()))
          : kMaxPropagation;
  Await(
      {{Revision(), zones}, all_leases, loop_.Now() + limit, std::move(done)});
}

void NodeCoordinator::Await(PropagationWaiter waiter) {
  if (!Ready()) {
    waiter.done(false);
    return;
  }
  waiters_.push_back(std::move(waiter));
  CompleteWaiters();
}

// Returns whether every node that reports has `revision`, or the wait for it
// ends at `until`.
bool NodeCoordinator::HasPropagated(const PropagationGoal& goal,
                                    bool all_leases,
                                    Time until) const {
  const Time now = loop_.Now();
  if (now >= until) {
    return true;
  }
  if (now < sessions_known_at_) {
    return false;
  }
  const Propagation propagation =
      MeasurePropagation(tracker_.sessions(), goal, now);
  return propagation.lagging.empty() &&
         (!all_leases || propagation.silent_with_lease == 0);
}

void NodeCoordinator::CompleteWaiters() {
  const auto waiting = std::stable_partition(
      waiters_.begin(), waiters_.end(), [this](const auto& waiter) {
        return HasPropagated(waiter.goal, waiter.all_leases, waiter.until);
      });
  // A callback may add another waiter.
  std::vector<PropagationWaiter> completed(
      std::make_move_iterator(waiters_.begin()),
      std::make_move_iterator(waiting));
  waiters_.erase(waiters_.begin(), waiting);
  for (const PropagationWaiter& waiter : completed) {
    waiter.done(true);
  }
}

// Follows the active revision until every node that reports has it, logs how it
// went and completes those that wait for it.
void NodeCoordinator::FollowPropagation() {
  if (!Ready()) {
    return;
  }
  const ConfigRecord* active = driver_.state().config().active();
  const Time now = loop_.Now();
  if (active != nullptr && active->revision != propagating_) {
    propagating_ = active->revision;
    propagating_since_ = now;
    propagated_ = false;
  }
  if (!propagated_ && HasPropagated({propagating_, 0}, false,
                                    propagating_since_ + kMaxPropagation)) {
    propagated_ = true;
    const Propagation propagation =
        MeasurePropagation(tracker_.sessions(), {propagating_, 0}, now);
    LogEvent(kConfigPropagated,
             {{"revision", propagating_.value},
              {"took_ms", ToMillis(now - propagating_since_)},
              {"confirmed", uint64_t{propagation.confirmed}},
              {"lagging", Join(propagation.lagging)},
              {"silent", Join(propagation.silent)}});
  }
  CompleteWaiters();
}

}  // namespace ibisvalve::control
