#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/base.h"

namespace ibisvalve::policy {

/// Settings of the quarantine of one service.
struct QuarantineSettings {
  uint32_t crashes = 2;  // at which a request was in flight
  Duration suspicion = std::chrono::minutes(10);   // without a further crash
  Duration quarantine = std::chrono::minutes(10);  // after the last crash
  uint32_t max_fingerprints = 4096;                // remembered at once

  auto operator<=>(const QuarantineSettings&) const = default;
};

/// One crash of a target, the same for every node that hears of it.
struct CrashId {
  NodeId gate;
  Incarnation incarnation;  // of the gate
  uint64_t number = 0;      // of the crash, counted by the gate

  auto operator<=>(const CrashId&) const = default;
};

/// What is thought of a request by its fingerprint.
enum class Verdict : uint8_t {
  kClear,
  kSuspect,      // was in flight at a crash: run it, but do not retry it
  kQuarantined,  // refuse it as not run
};

/// One quarantined request, as operators see it.
struct QuarantineEntry {
  Digest fingerprint;
  uint32_t crashes = 0;
  Time until{};

  auto operator<=>(const QuarantineEntry&) const = default;
};

/// Finds the requests that crash targets. Each request in flight at a crash is
/// a suspect; one that ends well at a target is cleared again, so that a
/// bystander that comes often is not taken for the cause.
class Quarantine {
 public:
  explicit Quarantine(const QuarantineSettings& settings = {});

  /// A target crashed with these requests in flight. A crash that was told
  /// before changes nothing. Returns those that are quarantined by this.
  std::vector<Digest> OnCrash(const CrashId& crash,
                              const std::vector<Digest>& in_flight,
                              Time now);
  /// A run of the request ended with a whole answer.
  void OnAnswer(Digest fingerprint, Time now);
  /// Returns what is thought of the request.
  Verdict Check(Digest fingerprint, Time now) const;
  /// Ends a quarantine and forgets the suspicion; false when there is none.
  bool Lift(Digest fingerprint, Time now);
  /// Returns what is quarantined, by fingerprint.
  std::vector<QuarantineEntry> List(Time now) const;

 private:
  struct Suspect {
    std::set<CrashId> crashes;
    Time until{};
  };

  bool IsQuarantined(const Suspect& suspect) const;
  void Forget(Time now);

  QuarantineSettings settings_;
  std::map<Digest, Suspect> suspects_;
  std::map<CrashId, Time> known_crashes_;  // until when each is remembered
};

}  // namespace ibisvalve::policy
