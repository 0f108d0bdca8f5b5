#include "control/claim_relay.h"

#include <optional>
#include <variant>

namespace ibisvalve::control {

ClaimRelay::ClaimRelay(ReplicaDriver& driver,
                       KeeperLinks& links,
                       LeaderRelay& relay)
    : driver_(driver), links_(links), relay_(relay) {}

void ClaimRelay::OnClaim(const wire::ClaimRequest& request, ClaimDone done) {
  LeaderRelay::Call call;
  call.local = [this, request](uint64_t number) {
    wire::ClaimRequest own = request;
    own.call = number;
    OnForwarded(own, [this, number](const wire::ClaimReply& reply) {
      Answer(number, reply);
    });
  };
  call.remote = [this, request](uint64_t number,
                                const world::Endpoint& leader) {
    wire::ClaimRequest own = request;
    own.call = number;
    links_.Send(leader, own);
  };
  call.unavailable = [this](uint64_t number) {
    Answer(number, wire::ClaimReply());
  };
  const uint64_t number = relay_.Start(std::move(call));
  asked_[number] = Asked{request.call, std::move(done)};
}

void ClaimRelay::OnSettle(const wire::ClaimSettle& settle, SettleDone done) {
  const Settling key(settle.key, settle.holder);
  LeaderRelay::Call call;
  call.local = [this, settle](uint64_t) {
    OnForwarded(settle,
                [this](const wire::SettleReply& reply) { OnReply(reply); });
  };
  call.remote = [this, settle](uint64_t, const world::Endpoint& leader) {
    links_.Send(leader, settle);
  };
  call.unavailable = [this, key](uint64_t number) {
    const auto found = settling_.find(key);
    if (found != settling_.end() && found->second.first == number) {
      settling_.erase(found);  // the node resends it
    }
  };
  settling_[key] = {relay_.Start(std::move(call)), std::move(done)};
}

void ClaimRelay::OnForwarded(const wire::ClaimRequest& request,
                             ClaimDone done) {
  const ClaimKey claim{request.key, request.body, request.holder,
                       request.retention_us, driver_.LogClock()};
  driver_.Propose(claim, [done = std::move(done), call = request.call](
                             const std::optional<CommandResult>& result) {
    // Without a result no reply is sent: the sender retries or reaches its
    // deadline.
    if (result) {
      auto reply = std::get<wire::ClaimReply>(*result);
      reply.call = call;
      done(reply);
    }
  });
}

void ClaimRelay::OnForwarded(const wire::ClaimSettle& settle, SettleDone done) {
  const SettleKey command{settle.key, settle.holder, settle.status,
                          driver_.LogClock()};
  driver_.Propose(command,
                  [done = std::move(done),
                   reply = wire::SettleReply{settle.key, settle.holder}](
                      const std::optional<CommandResult>& result) {
                    if (result) {
                      done(reply);
                    }
                  });
}

void ClaimRelay::OnReply(const wire::ClaimReply& reply) {
  Answer(reply.call, reply);
}

void ClaimRelay::OnReply(const wire::SettleReply& reply) {
  const auto found = settling_.find({reply.key, reply.holder});
  if (found == settling_.end()) {
    return;
  }
  const auto [number, done] = std::move(found->second);
  settling_.erase(found);
  if (relay_.Finish(number)) {
    done(reply);
  }
}

void ClaimRelay::Answer(uint64_t number, wire::ClaimReply reply) {
  relay_.Finish(number);
  const auto found = asked_.find(number);
  if (found == asked_.end()) {
    return;
  }
  const Asked asked = std::move(found->second);
  asked_.erase(found);
  ++answered_;
  reply.call = asked.call;
  asked.done(reply);
}

}  // namespace ibisvalve::control
