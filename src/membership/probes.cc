#include "membership/probes.h"

namespace ibisvalve::membership {
namespace {

// Maximum number of relayed pings that are pending at a time.
constexpr size_t kMaxRelays = 1000;

}  // namespace

uint64_t Probes::Add(Probe probe) {
  const uint64_t number = NewNumber();
  probes_.emplace(number, std::move(probe));
  return number;
}

void Probes::Clear() {
  probes_.clear();
  relays_.clear();
}

std::optional<uint64_t> Probes::AddRelay(Relay relay) {
  if (relays_.size() >= kMaxRelays) {
    return std::nullopt;
  }
  const uint64_t number = NewNumber();
  relays_.emplace(number, std::move(relay));
  return number;
}

std::optional<Probe> Probes::TakeAnswered(uint64_t number,
                                          const NodeId& subject) {
  const auto found = probes_.find(number);
  if (found == probes_.end() || found->second.target != subject) {
    return std::nullopt;
  }
  Probe probe = std::move(found->second);
  probes_.erase(found);
  return probe;
}

std::optional<Relay> Probes::TakeAnsweredRelay(uint64_t number) {
  const auto found = relays_.find(number);
  if (found == relays_.end()) {
    return std::nullopt;
  }
  Relay relay = std::move(found->second);
  relays_.erase(found);
  return relay;
}

std::vector<std::pair<uint64_t, Probe>> Probes::TakeForIndirectProbe(
    Time now,
    Duration age) {
  std::vector<std::pair<uint64_t, Probe>> slow;
  for (auto& [number, probe] : probes_) {
    if (!probe.indirect && now - probe.sent >= age) {
      probe.indirect = true;
      slow.emplace_back(number, probe);
    }
  }
  return slow;
}

std::vector<Probe> Probes::TakeExpired(Time now, Duration age) {
  std::vector<Probe> failed;
  std::erase_if(probes_, [&](const auto& entry) {
    const bool old = now - entry.second.sent >= age;
    if (old) {
      failed.push_back(entry.second);
    }
    return old;
  });
  std::erase_if(relays_, [&](const auto& entry) {
    return now - entry.second.sent >= age;
  });
  return failed;
}

}  // namespace ibisvalve::membership
