#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/base.h"

namespace ibisvalve::policy {

/// Settings of the request quarantine of one service.
struct QuarantineSettings {
  uint32_t crash_threshold = 2;  // with a request in flight, to quarantine it
  // Both periods start at the last crash with the request in flight.
  Duration suspicion_period = std::chrono::minutes(10);
  Duration quarantine_period = std::chrono::minutes(10);
  uint32_t max_fingerprints = 4096;  // suspects and quarantined requests kept

  auto operator<=>(const QuarantineSettings&) const = default;
};

/// Identifies a crash of a target across all nodes.
struct CrashId {
  NodeId gate;
  Incarnation incarnation;  // of the gate
  uint64_t number = 0;      // sequence number at the gate

  auto operator<=>(const CrashId&) const = default;
};

/// Classification of a request by its fingerprint.
enum class Verdict : uint8_t {
  kClear,
  kSuspect,      // in flight at a crash: may run, but is not retried
  kQuarantined,  // refused without a run
};

/// What a reported crash changed.
struct CrashEffect {
  bool already_known = false;  // a crash with this identity was reported before
  std::vector<Digest> suspected;    // requests that became suspects
  std::vector<Digest> quarantined;  // requests that were quarantined

  auto operator<=>(const CrashEffect&) const = default;
};

/// A quarantined request, as listed for operators.
struct QuarantineEntry {
  Digest fingerprint;
  uint32_t crashes = 0;
  Time until{};

  auto operator<=>(const QuarantineEntry&) const = default;
};

/// Detects requests that crash targets. Each request in flight at a crash
/// becomes a suspect and is quarantined after `crash_threshold` of them. A
/// complete response clears a suspect, so that a frequent but harmless request
/// is not quarantined.
class Quarantine {
 public:
  explicit Quarantine(const QuarantineSettings& settings = {});

  /// Records a crash of a target with the requests `in_flight`. Ignores a crash
  /// that was already reported. Returns what it changed.
  CrashEffect OnCrash(const CrashId& crash,
                      const std::vector<Digest>& in_flight,
                      Time now);
  /// Records that a run of the request ended with a complete response.
  void OnAnswer(Digest fingerprint, Time now);
  /// Returns the classification of the request.
  Verdict Check(Digest fingerprint, Time now) const;
  /// Ends the quarantine of the request and clears its record. Returns false if
  /// it is not quarantined.
  bool Lift(Digest fingerprint, Time now);
  /// Returns the quarantined requests, sorted by fingerprint.
  std::vector<QuarantineEntry> List(Time now) const;

 private:
  struct Suspect {
    std::set<CrashId> crashes;
    Time until{};
  };

  bool IsQuarantined(const Suspect& suspect) const;
  void EvictExpired(Time now);

  QuarantineSettings settings_;
  std::map<Digest, Suspect> suspects_;
  std::map<CrashId, Time> known_crashes_;  // with expiry time
};

}  // namespace ibisvalve::policy
