#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

#include "base/base.h"
#include "world/world.h"

namespace ibisvalve::policy {

/// Settings of the request quarantine of a node.
struct QuarantineSettings {
  uint32_t crash_threshold = 2;  // with a request in flight, to quarantine it
  // Both periods start at the last crash with the request in flight.
  Duration suspicion_period = std::chrono::minutes(10);
  Duration quarantine_period = std::chrono::minutes(10);
  uint32_t max_fingerprints = 4096;  // suspects and quarantined requests kept
  uint32_t max_crashes = 16;         // kept for each, the latest ones

  auto operator<=>(const QuarantineSettings&) const = default;
};

/// Classification of a request by its fingerprint.
enum class Verdict : uint8_t {
  kClear,
  kSuspect,      // in flight at a crash: may run
  kQuarantined,  // refused without a run
};

/// What a reported crash changed.
struct CrashEffect {
  bool already_known = false;       // the report repeats an earlier one
  std::vector<Digest> suspected;    // requests that became suspects
  std::vector<Digest> quarantined;  // requests that were quarantined
  std::vector<Digest> released;     // requests that are quarantined no longer

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
/// complete response clears it, so that a frequent but harmless request is not
/// quarantined for the crashes of another. Records of several nodes can be
/// merged in any order and any number of times: a crash, and that a request is
/// cleared of it, is never taken back.
class Quarantine {
 public:
  explicit Quarantine(const QuarantineSettings& settings = {});

  /// Records that the requests `in_flight` were running when a target crashed.
  /// One crash may be reported several times, with other requests each time;
  /// it counts once for each request. Returns what it changed.
  CrashEffect OnCrash(const world::CrashId& crash,
                      const std::vector<Digest>& in_flight,
                      Time now);
  /// Adds what another node knows of a request. Returns what it changed.
  CrashEffect Merge(const world::CrashRecord& record, Time now);
  /// Returns the crashes at which the request was in flight.
  world::CrashRecord Find(Digest fingerprint, Time now) const;
  /// Returns the records of requests that are or were quarantined, at most
  /// `max_records`, those that expire last first.
  std::vector<world::CrashRecord> QuarantineRecords(size_t max_records,
                                                    Time now) const;
  /// Records that a target has answered the request, which clears it of all
  /// crashes: a request that crashes each target that runs it is never
  /// answered. Returns whether it was suspected or quarantined.
  bool OnAnswer(Digest fingerprint, Time now);
  /// Returns the classification of the request.
  Verdict Check(Digest fingerprint, Time now) const;
  /// Ends the quarantine of the request and clears its record. Returns false if
  /// it is not quarantined.
  bool Lift(Digest fingerprint, Time now);
  /// Returns the number of suspects, without the quarantined requests.
  size_t CountSuspects(Time now) const;
  /// Returns the quarantined requests, sorted by fingerprint.
  std::vector<QuarantineEntry> List(Time now) const;

 private:
  // What is known of a request that was in flight at a crash.
  struct Crash {
    Time at{};
    // Whether a later response or an operator has cleared the request of this
    // crash. Kept, so that a repeated report does not count again.
    bool cleared = false;
  };
  using Record = std::map<world::CrashId, Crash>;

  CrashEffect Add(Digest fingerprint,
                  const world::CrashId& id,
                  const Crash& crash);
  uint32_t CountCrashes(const Record& record) const;
  bool IsQuarantined(const Record& record) const;
  Time ExpiryOf(const Record& record) const;
  static void ClearOfAllCrashes(Record& record);
  static void DropOldestCrash(Record& record);
  static world::CrashRecord ToRecord(Digest fingerprint,
                                     const Record& record,
                                     Time now);
  void EvictExpired(Time now);

  QuarantineSettings settings_;
  std::map<Digest, Record> records_;
};

}  // namespace ibisvalve::policy
