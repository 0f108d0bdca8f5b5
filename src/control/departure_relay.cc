#include "control/departure_relay.h"

#include <optional>
#include <utility>

#include "control/events.h"

namespace ibisvalve::control {

void DepartureRelay::OnRequest(const wire::DepartureRequest& request,
                               Done done) {
  if (IsStored(request)) {
    done({request.call});
    return;
  }
  LeaderRelay::Call call;
  call.local = [this, request](uint64_t number) {
    wire::DepartureRequest forwarded = request;
    forwarded.call = number;
    OnForwarded(forwarded,
                [this](const wire::DepartureReply& reply) { OnReply(reply); });
  };
  call.remote = [this, request](uint64_t number,
                                const world::Endpoint& leader) {
    wire::DepartureRequest forwarded = request;
    forwarded.call = number;
    links_.Send(leader, forwarded);
  };
  call.unavailable = [this](uint64_t number) { pending_.erase(number); };
  pending_[relay_.Start(std::move(call))] = {request.call, std::move(done)};
}

void DepartureRelay::OnForwarded(const wire::DepartureRequest& request,
                                 Done done) {
  if (IsStored(request)) {
    done({request.call});
    return;
  }
  driver_.Propose(AddDeparture{request.node, request.run, WallMicros()},
                  [this, request, done = std::move(done)](
                      const std::optional<CommandResult>& result) {
                    if (result && IsStored(request)) {
                      LogEvent(kTargetDeparted,
                               {{"node", request.node.value},
                                {"started_ms", request.run.started_ms},
                                {"identity", ToHex(request.run.identity)}});
                      done({request.call});
                    }
                  });
}

void DepartureRelay::OnReply(const wire::DepartureReply& reply) {
  relay_.Finish(reply.call);
  const auto found = pending_.find(reply.call);
  if (found != pending_.end()) {
    const Pending pending = std::move(found->second);
    pending_.erase(found);
    pending.done({pending.call});
  }
}

// What has been applied here is stored by a majority.
bool DepartureRelay::IsStored(const wire::DepartureRequest& request) const {
  return driver_.state().departures().Of(request.node).Covers(request.run);
}

}  // namespace ibisvalve::control
