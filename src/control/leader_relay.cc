#include "control/leader_relay.h"

#include <utility>
#include <vector>

namespace ibisvalve::control {
namespace {

constexpr Duration kDeadline = std::chrono::seconds(3);
constexpr Duration kTend = std::chrono::milliseconds(50);

}  // namespace

LeaderRelay::LeaderRelay(net::EventLoop& loop,
                         const ReplicaDriver& driver,
                         const KeeperLinks& links)
    : loop_(loop),
      driver_(driver),
      links_(links),
      next_call_(NewIncarnation().value << 8),
      tend_(loop, [this] { Tend(); }) {}

uint64_t LeaderRelay::Start(Call call) {
  const uint64_t number = next_call_++;
  pending_[number] = Pending{std::move(call), loop_.Now() + kDeadline};
  loop_.Post([this, number, alive = alive_] {
    if (*alive) {
      Try(number);
    }
  });
  if (!tend_.running()) {
    tend_.StartPeriodic(kTend);
  }
  return number;
}

bool LeaderRelay::Finish(uint64_t call) {
  return pending_.erase(call) > 0;
}

void LeaderRelay::Retry(uint64_t call) {
  const auto found = pending_.find(call);
  if (found != pending_.end()) {
    found->second.tried = false;
  }
}

std::optional<world::Endpoint> LeaderRelay::Leader() const {
  const Replica& replica = driver_.replica();
  for (const wire::KeeperMember& member : replica.members().members) {
    if (member.replica != replica.leader()) {
      continue;
    }
    const wire::KeeperHello* hello = links_.HelloAt(member.control);
    if (hello != nullptr && hello->replica == member.replica) {
      return member.control;
    }
  }
  return std::nullopt;
}

void LeaderRelay::Tend() {
  std::vector<uint64_t> numbers;
  for (const auto& [number, pending] : pending_) {
    numbers.push_back(number);
  }
  const std::optional<world::Endpoint> leader = Leader();
  const uint64_t link = leader ? links_.LinkNumber(*leader) : 0;
  for (const uint64_t number : numbers) {
    const auto found = pending_.find(number);
    if (found == pending_.end()) {
      continue;
    }
    Pending& pending = found->second;
    if (loop_.Now() >= pending.deadline) {
      const Call call = std::move(pending.call);
      pending_.erase(found);
      call.unavailable(number);
      continue;
    }
    // No answer can arrive once the link or the leader has changed.
    if (pending.link != 0 && pending.link != link) {
      pending.tried = false;
    }
    Try(number);
  }
  if (pending_.empty()) {
    tend_.Stop();
  }
}

void LeaderRelay::Try(uint64_t number) {
  const auto found = pending_.find(number);
  if (found == pending_.end() || found->second.tried) {
    return;
  }
  Pending& pending = found->second;
  if (driver_.replica().leading()) {
    pending.tried = true;
    pending.link = 0;
    const auto local = pending.call.local;  // may finish the call
    local(number);
    return;
  }
  if (const auto leader = Leader()) {
    pending.tried = true;
    pending.link = links_.LinkNumber(*leader);
    const auto remote = pending.call.remote;
    remote(number, *leader);
  }
}

}  // namespace ibisvalve::control
