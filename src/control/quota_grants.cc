#include "control/quota_grants.h"

#include <algorithm>
#include <utility>

#include "control/events.h"

namespace ibisvalve::control {
namespace {

constexpr Duration kBatchDelay = std::chrono::milliseconds(2);
// Nodes have asked again long before.
constexpr Duration kPendingTimeout = std::chrono::seconds(1);

}  // namespace

QuotaGrants::QuotaGrants(net::EventLoop& loop,
                         ReplicaDriver& driver,
                         KeeperLinks& links,
                         const LeaderRelay& relay,
                         FileTerms& terms)
    : loop_(loop),
      driver_(driver),
      links_(links),
      relay_(relay),
      terms_(terms),
      batch_timer_(loop, [this] { Flush(); }) {}

void QuotaGrants::OnRequest(const wire::QuotaRequest& request, Reply reply) {
  const uint64_t call = next_call_++;
  pending_[call] = {request.call, loop_.Now(), std::move(reply)};
  batch_.requests.push_back({call, request.demands});
  if (!batch_timer_.running()) {
    batch_timer_.StartOnce(kBatchDelay);
  }
}

void QuotaGrants::OnApplied() {
  if (driver_.replica().leading()) {
    UpdateBuckets();
  }
}

void QuotaGrants::Flush() {
  const wire::QuotaRequests batch = std::exchange(batch_, {});
  const Time oldest = loop_.Now() - kPendingTimeout;
  std::erase_if(pending_,
                [&](const auto& entry) { return entry.second.at < oldest; });
  if (driver_.replica().leading()) {
    OnForwarded(batch, [this](const wire::QuotaReplies& replies) {
      OnReplies(replies);
    });
  } else if (const auto leader = relay_.Leader()) {
    links_.Send(*leader, batch);
  }
}

void QuotaGrants::OnForwarded(const wire::QuotaRequests& batch,
                              BatchReply reply) {
  const uint64_t term = driver_.replica().term();
  driver_.Read([this, batch, reply = std::move(reply), term](bool confirmed) {
    if (confirmed && driver_.replica().leading() &&
        driver_.replica().term() == term) {
      Grant(batch, reply);
    }
  });
}

void QuotaGrants::Grant(const wire::QuotaRequests& batch,
                        const BatchReply& reply) {
  UpdateBuckets();
  const Time now = loop_.Now();
  wire::QuotaReplies replies;
  for (const wire::QuotaRequest& request : batch.requests) {
    wire::QuotaReply& answer =
        replies.replies.emplace_back(wire::QuotaReply{request.call, {}});
    for (const wire::QuotaDemand& demand : request.demands) {
      const policy::TokenBuckets::Grant grant =
          buckets_.Take(demand.workspace, demand.tokens,
                        Duration(static_cast<Duration::rep>(std::min<uint64_t>(
                            demand.max_delay_us, INT32_MAX))),
                        now);
      granted_ += grant.tokens;
      answer.tokens.push_back({demand.workspace, demand.tokens, grant.tokens,
                               static_cast<uint64_t>(grant.delay.count()),
                               static_cast<uint64_t>(grant.retry.count())});
    }
  }
  reply(replies);
}

// Empties the buckets in a new term, since the leader before may have granted
// all tokens, and takes over the quotas of a new revision.
void QuotaGrants::UpdateBuckets() {
  const Time now = loop_.Now();
  const CheckedFile& file = terms_.Active();
  if (terms_.revision() != revision_) {
    revision_ = terms_.revision();
    buckets_.Configure(file.quotas, now);
  }
  if (driver_.replica().term() != term_) {
    term_ = driver_.replica().term();
    buckets_.Reset(now);
    LogEvent(kQuotasEmptied,
             {{"term", term_}, {"workspaces", uint64_t{buckets_.size()}}});
  }
}

void QuotaGrants::OnReplies(const wire::QuotaReplies& replies) {
  for (const wire::QuotaReply& reply : replies.replies) {
    const auto found = pending_.find(reply.call);
    if (found != pending_.end()) {
      const Pending pending = std::move(found->second);
      pending_.erase(found);
      pending.reply({pending.call, reply.tokens});
    }
  }
}

}  // namespace ibisvalve::control
