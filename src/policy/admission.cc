#include "policy/admission.h"

#include <glog/logging.h>

#include <algorithm>
#include <cmath>

namespace ibisvalve::policy {
namespace {

constexpr double kFailureWeight = 1.0 / 16;  // of the latest run in the average
constexpr double kFailureHalfLifeUs = 2e6;   // without new results
// A request is served before one of the next more urgent priority if its
// objective is earlier by more than this. The bound prevents starvation of less
// urgent priorities.
constexpr Duration kPriorityStep = std::chrono::milliseconds(150);

// Limits the backlog that a very low rate is reported as.
constexpr int64_t kMaxRateBacklog = 10'000;

Time EffectiveObjective(const AdmissionTerms& terms) {
  constexpr uint32_t kMaxPriority = 10;
  return terms.objective + kPriorityStep * static_cast<int64_t>(std::min(
                                               terms.priority, kMaxPriority));
}

}  // namespace

Admission::Admission(const AdmissionSettings& settings)
    : settings_(settings), limit_(settings.slots) {}

Admission::Decision Admission::Arrive(const AdmissionTerms& terms, Time now) {
  DecayFailures(now);
  const Decision decision = Preview(terms, now);
  if (decision.admit == Admit::kRun) {
    Start(terms.id, now);
  } else if (decision.admit == Admit::kQueue) {
    const auto place =
        settings_.by_objective
            ? std::upper_bound(
                  queue_.begin(), queue_.end(), terms,
                  [](const AdmissionTerms& a, const QueuedAttempt& b) {
                    return EffectiveObjective(a) < EffectiveObjective(b.terms);
                  })
            : queue_.end();
    queue_.insert(place, QueuedAttempt{terms, now});
  }
  return decision;
}

Admission::Decision Admission::Preview(const AdmissionTerms& terms,
                                       Time now) const {
  return settings_.by_objective ? DecideByObjective(terms, now)
                                : DecideByDeadline(terms, now);
}

std::vector<Admission::Release> Admission::Finish(const AttemptId& id,
                                                  Duration service_time,
                                                  RunResult result,
                                                  Time now) {
  const bool saturated = running_.size() >= limit_.limit();
  CHECK_EQ(running_.erase(id), 1u) << "attempt is not running";
  DecayFailures(now);
  if (result != RunResult::kAbandoned) {
    const double failed = result == RunResult::kFailed ? 1.0 : 0.0;
    failure_share_ += (failed - failure_share_) * kFailureWeight;
  }
  // Failed runs often end quickly and would bias the service times.
  if (result == RunResult::kSucceeded) {
    service_times_.Add(service_time, now);
    if (settings_.adaptive_limit) {
      limit_.Add(service_time, saturated, now);
    }
  }
  return DispatchQueue(now);
}

void Admission::Cancel(const AttemptId& id) {
  std::erase_if(queue_,
                [&](const QueuedAttempt& one) { return one.terms.id == id; });
}

std::vector<Admission::Release> Admission::Expire(Time now) {
  DecayFailures(now);
  return DispatchQueue(now);
}

void Admission::Configure(const AdmissionSettings& settings) {
  if (settings.slots != settings_.slots) {
    limit_.SetSlots(settings.slots);
  }
  settings_ = settings;
}

std::vector<Admission::Release> Admission::SetRate(
    std::optional<double> per_second,
    Time now) {
  rate_.Set(per_second, now);
  return DispatchQueue(now);
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

uint32_t Admission::capacity() const {
  const double service =
      std::chrono::duration<double>(service_times_.mean()).count();
  if (!rate_.per_second() || service == 0) {
    return limit_.limit();
  }
  const double running = std::ceil(*rate_.per_second() * service);
  return running < limit_.limit() ? std::max(static_cast<uint32_t>(running), 1U)
                                  : limit_.limit();
}

uint32_t Admission::RateBacklog(Time now) const {
  const Duration wait = rate_.WaitFor(0, now);
  const Duration service = service_times_.mean();
  if (wait == Duration(0) || service == Duration(0)) {
    return 0;
  }
  const int64_t runs = wait * static_cast<int64_t>(capacity()) / service;
  return static_cast<uint32_t>(std::min(runs, kMaxRateBacklog));
}

Duration Admission::service_time() const {
  return service_times_.mean();
}

double Admission::failure_share() const {
  return failure_share_;
}

bool Admission::CanRun(Time now) const {
  return running_.size() < limit_.limit() && rate_.IsAvailable(now);
}

void Admission::Start(const AttemptId& id, Time now) {
  CHECK(running_.insert(id).second) << "attempt is already running";
  rate_.Take(now);
}

Duration Admission::ExpectedWait(size_t ahead, Time now) const {
  const Duration rate_wait = rate_.WaitFor(ahead, now);
  if (rate_.per_second() && running_.size() < limit_.limit()) {
    return rate_wait;
  }
  // With `limit` runs in parallel one ends every mean / limit on average; the
  // request starts once `ahead` + 1 runs have ended.
  const Duration slot_wait = service_times_.mean() *
                             static_cast<int64_t>(ahead + 1) /
                             static_cast<int64_t>(limit_.limit());
  return std::max(slot_wait, rate_wait);
}

Admission::Decision Admission::DecideByDeadline(const AdmissionTerms& terms,
                                                Time now) const {
  const Decision too_late{Admit::kRefuse, world::Reason::kDeadline};
  const Decision busy{Admit::kRefuse, world::Reason::kBusy};
  if (now + service_times_.TenthPercentile(now) >= terms.deadline) {
    return too_late;
  }
  if (CanRun(now) && queue_.empty()) {
    return {Admit::kRun, world::Reason::kNone};
  }
  if (queue_.size() >= settings_.max_queue) {
    return busy;
  }
  const Duration wait = ExpectedWait(queue_.size(), now);
  if (wait > settings_.max_wait) {
    return busy;
  }
  if (now + wait + service_times_.Median(now) >= terms.deadline) {
    return too_late;
  }
  return {Admit::kQueue, world::Reason::kNone};
}

Admission::Decision Admission::DecideByObjective(const AdmissionTerms& terms,
                                                 Time now) const {
  if (now + terms.expected >= terms.deadline) {
    return {Admit::kRefuse, world::Reason::kDeadline};
  }
  const auto ahead = static_cast<size_t>(std::count_if(
      queue_.begin(), queue_.end(), [&](const QueuedAttempt& waiting) {
        return EffectiveObjective(waiting.terms) <= EffectiveObjective(terms);
      }));
  if (ahead == 0 && CanRun(now)) {
    return {Admit::kRun, world::Reason::kNone};
  }
  const Duration wait = ExpectedWait(ahead, now);
  if (queue_.size() >= settings_.max_queue || wait > terms.max_queue_wait ||
      now + wait + terms.expected > terms.objective) {
    return {Admit::kRefuse, world::Reason::kBusy};
  }
  return {Admit::kQueue, world::Reason::kNone};
}

world::Reason Admission::WaitRefusal(const QueuedAttempt& waiting,
                                     Time now) const {
  if (settings_.by_objective) {
    return WaitRefusalByObjective(waiting, now);
  }
  if (now + service_times_.TenthPercentile(now) >= waiting.terms.deadline) {
    return world::Reason::kDeadline;
  }
  if (now - waiting.queued_at > settings_.max_wait) {
    return world::Reason::kBusy;
  }
  return world::Reason::kNone;
}

// A request that can no longer meet its objective runs only if a slot is free
// now; otherwise it is refused, as it would delay requests that still can.
world::Reason Admission::WaitRefusalByObjective(const QueuedAttempt& waiting,
                                                Time now) const {
  const AdmissionTerms& terms = waiting.terms;
  if (now + terms.expected >= terms.deadline) {
    return world::Reason::kDeadline;
  }
  const bool late = now + terms.expected > terms.objective ||
                    now - waiting.queued_at > terms.max_queue_wait;
  return late && !CanRun(now) ? world::Reason::kBusy : world::Reason::kNone;
}

std::vector<Admission::Release> Admission::DispatchQueue(Time now) {
  std::vector<Release> releases;
  std::deque<QueuedAttempt> still_waiting;
  for (const QueuedAttempt& waiting : queue_) {
    const world::Reason reason = WaitRefusal(waiting, now);
    if (reason != world::Reason::kNone) {
      releases.push_back({waiting.terms.id, {Admit::kRefuse, reason}});
    } else if (CanRun(now)) {
      Start(waiting.terms.id, now);
      releases.push_back(
          {waiting.terms.id, {Admit::kRun, world::Reason::kNone}});
    } else {
      still_waiting.push_back(waiting);
    }
  }
  queue_ = std::move(still_waiting);
  return releases;
}

void Admission::DecayFailures(Time now) {
  // A target that gets no requests yields no evidence of recovery, so the share
  // decays with time as well.
  const auto idle = static_cast<double>((now - failures_decayed_at_).count());
  failure_share_ *= std::exp2(-idle / kFailureHalfLifeUs);
  failures_decayed_at_ = now;
}

}  // namespace ibisvalve::policy
