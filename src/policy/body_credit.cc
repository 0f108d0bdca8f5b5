#include "policy/body_credit.h"

#include <algorithm>

namespace ibisvalve::policy {
namespace {

constexpr double kBitsPerByte = 8;

uint64_t WindowOf(const BodyCreditSettings& settings) {
  if (settings.link_mbps <= 0) {
    return UINT64_MAX;
  }
  // 1 Mbit/s is one bit per microsecond.
  const double bytes = settings.link_mbps / kBitsPerByte *
                       static_cast<double>(settings.max_backlog.count());
  return std::max(static_cast<uint64_t>(bytes), settings.min_window);
}

}  // namespace

BodyCredit::BodyCredit(const BodyCreditSettings& settings)
    : settings_(settings), window_(WindowOf(settings)) {}

void BodyCredit::Add(const AttemptId& id,
                     uint64_t ungranted,
                     uint64_t granted,
                     Time objective,
                     Time now) {
  bodies_[id] = Body{ungranted, granted, objective, now};
}

void BodyCredit::OnReceived(const AttemptId& id, uint64_t bytes, Time now) {
  const auto found = bodies_.find(id);
  if (found == bodies_.end()) {
    return;
  }
  Body& body = found->second;
  body.granted -= std::min(bytes, body.granted);
  body.progress = now;
}

void BodyCredit::Remove(const AttemptId& id) {
  bodies_.erase(id);
}

std::vector<BodyCredit::Grant> BodyCredit::Issue(Time now) {
  std::vector<Grant> grants;
  uint64_t used = outstanding(now);
  while (used < window_) {
    const auto next = FindMostUrgent(now);
    if (next == bodies_.end()) {
      break;
    }
    Body& body = next->second;
    const uint64_t bytes =
        std::min({body.ungranted, settings_.quantum, window_ - used});
    body.ungranted -= bytes;
    body.progress = body.granted == 0 ? now : body.progress;
    body.granted += bytes;
    used += bytes;
    if (!grants.empty() && grants.back().id == next->first) {
      grants.back().bytes += static_cast<uint32_t>(bytes);
    } else {
      grants.push_back({next->first, static_cast<uint32_t>(bytes)});
    }
  }
  return grants;
}

bool BodyCredit::has_waiting() const {
  return std::any_of(bodies_.begin(), bodies_.end(), [](const auto& entry) {
    return entry.second.ungranted > 0;
  });
}

uint64_t BodyCredit::outstanding(Time now) const {
  uint64_t bytes = 0;
  for (const auto& [id, body] : bodies_) {
    bytes += IsStalled(body, now) ? 0 : body.granted;
  }
  return bytes;
}

Duration BodyCredit::TransferTime(uint64_t bytes) const {
  if (settings_.link_mbps <= 0) {
    return Duration(0);
  }
  uint64_t total = bytes;
  for (const auto& [id, body] : bodies_) {
    total += body.ungranted + body.granted;
  }
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(total) * kBitsPerByte / settings_.link_mbps));
}

bool BodyCredit::IsStalled(const Body& body, Time now) const {
  return body.granted > 0 && now - body.progress >= settings_.reclaim_after;
}

std::map<AttemptId, BodyCredit::Body>::iterator BodyCredit::FindMostUrgent(
    Time now) {
  auto best = bodies_.end();
  for (auto one = bodies_.begin(); one != bodies_.end(); ++one) {
    if (one->second.ungranted > 0 && !IsStalled(one->second, now) &&
        (best == bodies_.end() ||
         one->second.objective < best->second.objective)) {
      best = one;
    }
  }
  return best;
}

}  // namespace ibisvalve::policy
