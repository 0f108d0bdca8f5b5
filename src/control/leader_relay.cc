#include "control/leader_relay.h"

#include <utility>
#include <vector>

namespace ibisvalve::control {
namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(3);
constexpr Duration kCheckInterval = std::chrono::milliseconds(50);

}  // namespace

LeaderRelay::LeaderRelay(net::EventLoop& loop,
                         const ReplicaDriver& driver,
                         const KeeperLinks& links)
    : loop_(loop),
      driver_(driver),
      links_(links),
      next_call_(NewIncarnation().value << 8),
      check_timer_(loop, [this] { CheckPending(); }) {}

uint64_t LeaderRelay::Start(Call call) {
  const uint64_t number = next_call_++;
  pending_[number] = PendingCall{std::move(call), loop_.Now() + kCallTimeout};
  loop_.Post([this, number, alive = alive_] {
    if (*alive) {
      Dispatch(number);
    }
  });
  if (!check_timer_.running()) {
    check_timer_.StartPeriodic(kCheckInterval);
  }
  return number;
}

bool LeaderRelay::Finish(uint64_t call) {
  return pending_.erase(call) > 0;
}

void LeaderRelay::Retry(uint64_t call) {
  const auto found = pending_.find(call);
  if (found != pending_.end()) {
    found->second.dispatched = false;
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

void LeaderRelay::CheckPending() {
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
    PendingCall& pending = found->second;
    if (loop_.Now() >= pending.deadline) {
      const Call call = std::move(pending.call);
      pending_.erase(found);
      call.unavailable(number);
      continue;
    }
    // No answer can arrive once the link or the leader has changed.
    if (pending.link != 0 && pending.link != link) {
      pending.dispatched = false;
    }
    Dispatch(number);
  }
  if (pending_.empty()) {
    check_timer_.Stop();
  }
}

void LeaderRelay::Dispatch(uint64_t number) {
  const auto found = pending_.find(number);
  if (found == pending_.end() || found->second.dispatched) {
    return;
  }
  PendingCall& pending = found->second;
  if (driver_.replica().leading()) {
    pending.dispatched = true;
    pending.link = 0;
    const auto local = pending.call.local;  // copied: it may finish the call
    local(number);
    return;
  }
  if (const auto leader = Leader()) {
    pending.dispatched = true;
    pending.link = links_.LinkNumber(*leader);
    const auto remote = pending.call.remote;
    remote(number, *leader);
  }
}

}  // namespace ibisvalve::control
