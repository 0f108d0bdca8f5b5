#include "policy/admission.h"

#include <glog/logging.h>

#include <algorithm>
#include <cmath>

namespace ibisvalve::policy {
namespace {

constexpr double kFailureWeight = 1.0 / 16;  // of the latest run
constexpr double kFailureHalfLifeUs = 2e6;   // while nothing runs

}  // namespace

Admission::Admission(const AdmissionSettings& settings)
    : settings_(settings), limit_(settings.slots) {}

Admission::Decision Admission::Arrive(const AttemptId& id,
                                      Time deadline,
                                      Time now) {
  DecayFailures(now);
  const Decision decision = DecideOn(deadline, now);
  if (decision.admit == Admit::kRun) {
    CHECK(running_.insert(id).second) << "attempt runs already";
  } else if (decision.admit == Admit::kQueue) {
    queue_.push_back(Waiting{id, deadline, now});
  }
  return decision;
}

std::vector<Admission::Release> Admission::Finish(const AttemptId& id,
                                                  Duration service_time,
                                                  RunEnd end,
                                                  Time now) {
  const bool saturated = running_.size() >= limit_.limit();
  CHECK_EQ(running_.erase(id), 1u) << "attempt is not running";
  DecayFailures(now);
  if (end != RunEnd::kAbandoned) {
    const double failed = end == RunEnd::kFailed ? 1.0 : 0.0;
    failure_share_ += (failed - failure_share_) * kFailureWeight;
  }
  // A refusal is quick and says nothing of how long real work takes.
  if (end == RunEnd::kWell) {
    times_.Add(service_time, now);
    if (settings_.adapts) {
      limit_.Add(service_time, saturated, now);
    }
  }
  return Fill(now);
}

void Admission::Forget(const AttemptId& id) {
  std::erase_if(queue_, [&](const Waiting& one) { return one.id == id; });
}

std::vector<Admission::Release> Admission::Expire(Time now) {
  DecayFailures(now);
  return Fill(now);
}

void Admission::Configure(const AdmissionSettings& settings) {
  if (settings.slots != settings_.slots) {
    limit_.SetSlots(settings.slots);
  }
  settings_ = settings;
}

uint32_t Admission::in_flight() const {
  return static_cast<uint32_t>(running_.size());
}

uint32_t Admission::queued() const {
  return static_cast<uint32_t>(queue_.size());
}

uint32_t Admission::limit() const {
  return limit_.limit();
}

Duration Admission::service_time() const {
  return times_.mean();
}

double Admission::failure_share() const {
  return failure_share_;
}

Duration Admission::WaitAhead() const {
  // One run ends every mean / limit; this request takes the turn after all
  // that wait.
  const auto ahead = static_cast<int64_t>(queue_.size() + 1);
  return times_.mean() * ahead / static_cast<int64_t>(limit_.limit());
}

Admission::Decision Admission::DecideOn(Time deadline, Time now) const {
  const Decision too_late{Admit::kRefuse, world::Reason::kDeadline};
  const Decision busy{Admit::kRefuse, world::Reason::kBusy};
  if (now + times_.Quickest(now) >= deadline) {
    return too_late;
  }
  if (running_.size() < limit_.limit() && queue_.empty()) {
    return {Admit::kRun, world::Reason::kNone};
  }
  if (queue_.size() >= settings_.max_queue) {
    return busy;
  }
  const Duration wait = WaitAhead();
  if (wait > settings_.max_wait) {
    return busy;
  }
  if (now + wait + times_.Typical(now) >= deadline) {
    return too_late;
  }
  return {Admit::kQueue, world::Reason::kNone};
}

world::Reason Admission::TooLate(const Waiting& waiting, Time now) const {
  if (now + times_.Quickest(now) >= waiting.deadline) {
    return world::Reason::kDeadline;
  }
  if (now - waiting.since > settings_.max_wait) {
    return world::Reason::kBusy;
  }
  return world::Reason::kNone;
}

std::vector<Admission::Release> Admission::Fill(Time now) {
  std::vector<Release> releases;
  std::deque<Waiting> still_waiting;
  for (const Waiting& waiting : queue_) {
    const world::Reason reason = TooLate(waiting, now);
    if (reason != world::Reason::kNone) {
      releases.push_back({waiting.id, {Admit::kRefuse, reason}});
    } else if (running_.size() < limit_.limit()) {
      CHECK(running_.insert(waiting.id).second) << "attempt runs already";
      releases.push_back({waiting.id, {Admit::kRun, world::Reason::kNone}});
    } else {
      still_waiting.push_back(waiting);
    }
  }
  queue_ = std::move(still_waiting);
  return releases;
}

void Admission::DecayFailures(Time now) {
  // Without runs nothing tells of recovery, so the share fades by itself.
  const auto idle = static_cast<double>((now - failures_decayed_).count());
  failure_share_ *= std::exp2(-idle / kFailureHalfLifeUs);
  failures_decayed_ = now;
}

}  // namespace ibisvalve::policy
