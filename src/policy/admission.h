#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_set>
#include <vector>

#include "base/base.h"
#include "policy/concurrency_limit.h"
#include "policy/rate_limit.h"
#include "policy/run_result.h"
#include "policy/service_times.h"
#include "world/world.h"

namespace ibisvalve::policy {

/// Settings of the admission control of one gate.
struct AdmissionSettings {
  uint32_t slots = 1;                                 // declared by the target
  Duration max_wait = std::chrono::milliseconds(20);  // in the queue
  uint32_t max_queue = 64;                            // requests
  bool adaptive_limit = true;  // lowers the limit while service times rise
  // Queues a request only if it can still meet its objective, regardless of
  // `max_wait`, and orders the queue by urgency instead of arrival.
  bool by_objective = false;

  auto operator<=>(const AdmissionSettings&) const = default;
};

/// Properties of a request that admission depends on.
struct AdmissionTerms {
  AttemptId id;
  Time deadline;          // the caller discards responses after this time
  Time objective;         // latency objective, as a point in time
  Duration expected{0};   // service time if started now; 0: unknown
  uint32_t priority = 0;  // 0 is the most urgent
  // Maximum time in the queue; finite if another target may have free slots.
  Duration max_queue_wait = Duration::max();

  auto operator<=>(const AdmissionTerms&) const = default;
};

/// Admission decision on a request that arrives at a gate.
enum class Admit : uint8_t { kRun, kQueue, kRefuse };

/// Admission control of the target next to this node: decides which attempts
/// run, wait or are refused. The count of attempts in flight is exact, so the
/// caller must call Finish() once for each attempt that was admitted to run.
class Admission {
 public:
  struct Decision {
    Admit admit = Admit::kRefuse;
    world::Reason reason = world::Reason::kNone;  // with kRefuse

    auto operator<=>(const Decision&) const = default;
  };
  /// An attempt that leaves the queue, with the decision on it.
  struct Release {
    AttemptId id;
    Decision decision;  // kRun or kRefuse

    auto operator<=>(const Release&) const = default;
  };

  explicit Admission(const AdmissionSettings& settings);

  /// Decides on an arriving request. Refuses it immediately if, by recent or
  /// expected service times, it cannot finish before its deadline.
  Decision Arrive(const AdmissionTerms& terms, Time now);
  /// Returns the decision that Arrive would make now, without any effect.
  Decision Preview(const AdmissionTerms& terms, Time now) const;
  /// Decides on a request with a deadline only; its objective is the deadline.
  Decision Arrive(const AttemptId& id, Time deadline, Time now) {
    return Arrive(AdmissionTerms{id, deadline, deadline}, now);
  }
  /// Ends a running attempt with `result` after `service_time`. Returns
  /// the queued attempts that now start to run or have become too late.
  std::vector<Release> Finish(const AttemptId& id,
                              Duration service_time,
                              RunResult result,
                              Time now);
  /// Removes a cancelled attempt from the queue; ignores unknown ids.
  void Cancel(const AttemptId& id);
  /// Removes and returns the queued attempts that have become too late, or that
  /// start to run because the limit has risen.
  std::vector<Release> Expire(Time now);
  /// Replaces the settings; attempts that run already are not interrupted.
  void Configure(const AdmissionSettings& settings);

  /// Sets the requests per second that the target takes; nullopt: no limit.
  /// Returns the queued attempts that now start to run.
  std::vector<Release> SetRate(std::optional<double> per_second, Time now);

  uint32_t in_flight() const;
  uint32_t queued() const;
  /// Returns the current concurrency limit, at most the number of slots.
  uint32_t limit() const;
  /// Returns how many requests run at once on average if the target is fully
  /// used: its concurrency limit, or less if its rate allows only less.
  uint32_t capacity() const;
  /// Returns how many queued requests would delay an arriving one as long as
  /// the rate of the target does now.
  uint32_t RateBacklog(Time now) const;
  /// Returns the mean of recent service times; 0 if there are none.
  Duration service_time() const;
  /// Returns the moving average of the share of failed runs, 0 to 1.
  double failure_share() const;

 private:
  struct QueuedAttempt {
    AdmissionTerms terms;
    Time queued_at;
  };
  bool CanRun(Time now) const;
  void Start(const AttemptId& id, Time now);
  Duration ExpectedWait(size_t ahead, Time now) const;
  Decision DecideByDeadline(const AdmissionTerms& terms, Time now) const;
  Decision DecideByObjective(const AdmissionTerms& terms, Time now) const;
  world::Reason WaitRefusalByObjective(const QueuedAttempt& waiting,
                                       Time now) const;
  world::Reason WaitRefusal(const QueuedAttempt& waiting, Time now) const;
  std::vector<Release> DispatchQueue(Time now);
  void DecayFailures(Time now);

  AdmissionSettings settings_;
  ConcurrencyLimit limit_;
  RateLimit rate_;
  ServiceTimes service_times_;
  std::unordered_set<AttemptId> running_;
  std::deque<QueuedAttempt> queue_;
  double failure_share_ = 0;
  Time failures_decayed_at_{};
};

}  // namespace ibisvalve::policy
