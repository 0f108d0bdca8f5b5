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
    wire::ClaimRequest forwarded = request;
    forwarded.call = number;
    OnForwarded(forwarded, [this, number](const wire::ClaimReply& reply) {
      Complete(number, reply);
    });
  };
  call.remote = [this, request](uint64_t number,
                                const world::Endpoint& leader) {
    wire::ClaimRequest forwarded = request;
    forwarded.call = number;
    links_.Send(leader, forwarded);
  };
  call.unavailable = [this](uint64_t number) {
    Complete(number, wire::ClaimReply());
  };
  const uint64_t number = relay_.Start(std::move(call));
  pending_claims_[number] = PendingClaim{request.call, std::move(done)};
}

void ClaimRelay::OnSettle(const wire::ClaimSettle& settle, SettleDone done) {
  const ClaimId key(settle.key, settle.holder);
  LeaderRelay::Call call;
  call.local = [this, settle](uint64_t) {
    OnForwarded(settle,
                [this](const wire::SettleReply& reply) { OnReply(reply); });
  };
  call.remote = [this, settle](uint64_t, const world::Endpoint& leader) {
    links_.Send(leader, settle);
  };
  call.unavailable = [this, key](uint64_t number) {
    const auto found = pending_settles_.find(key);
    if (found != pending_settles_.end() && found->second.first == number) {
      pending_settles_.erase(found);  // the node resends it
    }
  };
  pending_settles_[key] = {relay_.Start(std::move(call)), std::move(done)};
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
  Complete(reply.call, reply);
}

void ClaimRelay::OnReply(const wire::SettleReply& reply) {
  const auto found = pending_settles_.find({reply.key, reply.holder});
  if (found == pending_settles_.end()) {
    return;
  }
  const auto [number, done] = std::move(found->second);
  pending_settles_.erase(found);
  if (relay_.Finish(number)) {
    done(reply);
  }
}

void ClaimRelay::Complete(uint64_t number, wire::ClaimReply reply) {
  relay_.Finish(number);
  const auto found = pending_claims_.find(number);
  if (found == pending_claims_.end()) {
    return;
  }
  const PendingClaim pending = std::move(found->second);
  pending_claims_.erase(found);
  ++answered_;
  reply.call = pending.call;
  pending.done(reply);
}

}  // namespace ibisvalve::control
