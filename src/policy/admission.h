#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <unordered_set>
#include <vector>

#include "base/base.h"
#include "policy/concurrency_limit.h"
#include "policy/run_end.h"
#include "policy/service_times.h"
#include "world/world.h"

namespace ibisvalve::policy {

/// Settings of admission at one gate.
struct AdmissionSettings {
  uint32_t slots = 1;                                 // declared by the target
  Duration max_wait = std::chrono::milliseconds(20);  // in the queue
  uint32_t max_queue = 64;                            // requests
  bool adapts = true;  // fewer than the slots run while service times rise
  // A request waits only if it will still be on time, whatever `max_wait` says,
  // and the most urgent one runs first.
  bool by_objective = false;

  auto operator<=>(const AdmissionSettings&) const = default;
};

/// What admission must know of a request.
struct AdmissionTerms {
  AttemptId id;
  Time deadline;          // nobody waits for the answer any longer
  Time objective;         // the answer should come by then
  Duration expected{0};   // how long it would run now; 0: not known
  uint32_t priority = 0;  // 0 is the most urgent
  // How long it should wait here at most: another target may have room.
  Duration patience = Duration::max();

  auto operator<=>(const AdmissionTerms&) const = default;
};

/// What becomes of a request that arrives at a gate.
enum class Admit : uint8_t { kRun, kQueue, kRefuse };

/// Decides which requests run at the target beside this node, and when. Counts
/// what is in flight exactly: each attempt that ran must be finished.
class Admission {
 public:
  struct Decision {
    Admit admit = Admit::kRefuse;
    world::Reason reason = world::Reason::kNone;  // with kRefuse

    auto operator<=>(const Decision&) const = default;
  };
  /// An attempt that waited, and what becomes of it now.
  struct Release {
    AttemptId id;
    Decision decision;  // kRun or kRefuse

    auto operator<=>(const Release&) const = default;
  };

  explicit Admission(const AdmissionSettings& settings);

  /// Decides on a request. Refuses at once what cannot finish in time by the
  /// recent service times.
  Decision Arrive(const AdmissionTerms& terms, Time now);
  /// The same for a request of which only the deadline is known.
  Decision Arrive(const AttemptId& id, Time deadline, Time now) {
    return Arrive(AdmissionTerms{id, deadline, deadline}, now);
  }
  /// A running attempt ended as `end` says after `service_time`. Returns the
  /// attempts that may run now or are too late.
  std::vector<Release> Finish(const AttemptId& id,
                              Duration service_time,
                              RunEnd end,
                              Time now);
  /// A waiting attempt was cancelled.
  void Forget(const AttemptId& id);
  /// Returns the waiting attempts that are too late by now, or may run since
  /// the limit rose.
  std::vector<Release> Expire(Time now);
  /// Replaces the settings; running attempts go on.
  void Configure(const AdmissionSettings& settings);

  uint32_t in_flight() const;
  uint32_t queued() const;
  /// Returns how many requests may run at once now, at most the slots.
  uint32_t limit() const;
  /// Returns the recent mean service time.
  Duration service_time() const;
  /// Returns the recent share of failed runs, 0 to 1.
  double failure_share() const;

 private:
  struct Waiting {
    AdmissionTerms terms;
    Time since;
  };
  Duration WaitAhead(size_t ahead) const;
  Decision DecideOn(const AdmissionTerms& terms, Time now) const;
  Decision DecideByObjective(const AdmissionTerms& terms, Time now) const;
  world::Reason TooLateForObjective(const Waiting& waiting, Time now) const;
  world::Reason TooLate(const Waiting& waiting, Time now) const;
  std::vector<Release> Fill(Time now);
  void DecayFailures(Time now);

  AdmissionSettings settings_;
  ConcurrencyLimit limit_;
  ServiceTimes times_;
  std::unordered_set<AttemptId> running_;
  std::deque<Waiting> queue_;
  double failure_share_ = 0;
  Time failures_decayed_{};
};

}  // namespace ibisvalve::policy
