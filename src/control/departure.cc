#include "control/departure.h"

#include <algorithm>
#include <utility>

#include "control/events.h"

namespace ibisvalve::control {

Departure::Departure(const ReplicaDriver& driver,
                     KeeperLinks& links,
                     LeaderRelay& relay,
                     std::function<GroupView()> view)
    : driver_(driver), links_(links), relay_(relay), view_(std::move(view)) {}

void Departure::Start(std::function<void()> done) {
  started_ = true;
  done_ = std::move(done);
  if (driver_.replica().members().group.value == 0 || driver_.paused()) {
    Finish("not-in-group");
    return;
  }
  LeaderRelay::Call call;
  call.local = [this](uint64_t number) {
    OnReply({number, ResultFor(driver_.self())});
  };
  call.remote = [this](uint64_t number, const world::Endpoint& leader) {
    links_.Send(leader, wire::LeaveRequest{number, driver_.self()});
  };
  call.unavailable = [this](uint64_t) { Finish("no-leader"); };
  call_ = relay_.Start(std::move(call));
}

void Departure::OnMembersApplied() {
  const Replica& replica = driver_.replica();
  if (!done_ || replica.log().members_index() > replica.commit()) {
    return;
  }
  const auto& members = replica.members().members;
  const bool is_voter =
      std::any_of(members.begin(), members.end(), [this](const auto& member) {
        return member.replica == driver_.self() && member.voter;
      });
  if (!is_voter) {
    OnReply({call_, wire::LeaveResult::kLeft});
  }
}

wire::LeaveReply Departure::OnRequest(const wire::LeaveRequest& request) const {
  return {request.call, ResultFor(request.replica)};
}

wire::LeaveResult Departure::ResultFor(wire::ReplicaId id) const {
  const Replica& replica = driver_.replica();
  const bool members_committed =
      replica.log().members_index() <= replica.commit();
  if (!replica.committed_in_term() || !members_committed) {
    return wire::LeaveResult::kRetry;
  }
  return ResultOfLeaving(view_(), id);
}

void Departure::OnReply(const wire::LeaveReply& reply) {
  if (reply.result == wire::LeaveResult::kRetry) {
    relay_.Retry(reply.call);
  } else if (relay_.Finish(reply.call)) {
    Finish(reply.result == wire::LeaveResult::kLeft ? "left" : "stays");
  }
}

void Departure::Finish(const char* result) {
  LogEvent(kKeeperLeaves, {{"result", result}});
  if (const auto done = std::exchange(done_, nullptr)) {
    done();
  }
}

}  // namespace ibisvalve::control
