#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "base/base.h"
#include "world/world.h"

namespace ibisvalve::policy {

/// Settings of the request quarantine of a node.
struct QuarantineSettings {
  uint32_t crash_threshold = world::kRequestCrashThreshold;
  uint32_t resource_threshold = world::kResourceCrashThreshold;
  // Both periods start at the last crash with the request in flight.
  Duration suspicion_period = std::chrono::minutes(10);
  Duration quarantine_period = std::chrono::minutes(10);
  uint32_t max_resources = 2048;  // with suspects or quarantined requests
  uint32_t max_crashes = 32;  // kept for each, counted once for each request

  auto operator<=>(const QuarantineSettings&) const = default;
};

/// Classification of a request.
enum class Verdict : uint8_t {
  kClear,
  kSuspect,      // in flight at a crash: may run
  kQuarantined,  // refused without a run
};

/// What is quarantined.
enum class QuarantineScope : uint8_t {
  kRequest,   // the very same request
  kResource,  // all requests with this path and body
};

/// What a reported crash changed.
struct CrashEffect {
  bool already_known = false;       // the report repeats an earlier one
  std::vector<Digest> suspected;    // requests that became suspects
  std::vector<Digest> quarantined;  // requests that were quarantined
  std::vector<Digest> released;     // requests that are quarantined no longer
  std::vector<Digest> quarantined_resources;
  std::vector<Digest> released_resources;

  auto operator<=>(const CrashEffect&) const = default;
};

/// An entry of the quarantine, as listed for operators.
struct QuarantineEntry {
  QuarantineScope scope = QuarantineScope::kRequest;
  Digest fingerprint;  // of the request or the resource
  uint32_t crashes = 0;
  Time until{};

  auto operator<=>(const QuarantineEntry&) const = default;
};

/// Detects requests that crash targets. Each request in flight at a crash
/// becomes a suspect and is quarantined after `crash_threshold` of them. A
/// complete response clears it, so that a frequent but harmless request is not
/// quarantined for the crashes of another.
///
/// A request that crashes targets may come again in another form. Therefore all
/// requests for a resource are quarantined after `resource_threshold` crashes,
/// if no single request was in flight at all of them and no request for the
/// resource has been answered since.
///
/// Records of several nodes can be merged in any order and any number of times:
/// a crash, and that a request or its resource is cleared of it, is never taken
/// back.
class Quarantine {
 public:
  explicit Quarantine(const QuarantineSettings& settings = {});

  /// Records that the requests `in_flight` were running when a target crashed.
  /// One crash may be reported several times, with other requests each time;
  /// it counts once for each request. Returns what it changed.
  CrashEffect OnCrash(const world::CrashId& crash,
                      const std::vector<world::RequestIdentity>& in_flight,
                      Time now);
  /// Adds what another node knows of a resource. Returns what it changed.
  CrashEffect Merge(const world::CrashRecord& record, Time now);
  /// Returns the crashes at which requests for `resource` were in flight.
  world::CrashRecord Find(Digest resource, Time now) const;
  /// Returns the records of which some crashes count against a request or a
  /// resource and at most one more is needed for a quarantine, at most
  /// `max_records`, those that expire last first.
  std::vector<world::CrashRecord> RepeatedCrashRecords(size_t max_records,
                                                       Time now) const;
  /// Records that a target has answered the request. This clears the request of
  /// its crashes, as one that crashes each target is never answered, and its
  /// resource of those of all its requests. Returns whether that changed
  /// anything.
  bool OnAnswer(const world::RequestIdentity& request, Time now);
  /// Returns the classification of the request.
  Verdict Check(const world::RequestIdentity& request, Time now) const;
  /// Returns whether the request was in flight at `crash` and has been cleared
  /// of it.
  bool IsCleared(const world::RequestIdentity& request,
                 const world::CrashId& crash) const;
  /// Clears all requests, and their resources, of the crashes for which
  /// `refutes` returns true, because their targets have not ended. Returns the
  /// resources for which this changed anything.
  std::vector<Digest> Refute(
      const std::function<bool(const world::CrashId&)>& refutes);
  /// Ends the quarantine of the request or resource with this fingerprint and
  /// clears it of its crashes. Returns false if it is not quarantined.
  bool Lift(Digest fingerprint, Time now);
  /// Returns the number of suspects, without the quarantined requests.
  size_t CountSuspects(Time now) const;
  /// Returns the quarantined requests and resources, sorted by resource.
  std::vector<QuarantineEntry> List(Time now) const;

 private:
  // What is known of a request that was in flight at a crash.
  struct Crash {
    Time at{};
    // Whether a later response or an operator has cleared the request of this
    // crash. Kept, so that a repeated report does not count again.
    bool cleared = false;
    // The same for the resource.
    bool resource_cleared = false;
  };
  using Key = std::pair<world::CrashId, Digest>;  // the crash and the request
  using Record = std::map<Key, Crash>;            // of one resource

  // The crashes that count against a request or a resource.
  struct Evidence {
    uint32_t crashes = 0;
    Time last{};
    bool quarantined = false;
  };

  CrashEffect Add(Digest resource, const Key& key, const Crash& crash);
  Evidence EvidenceOfRequest(const Record& record, Digest request) const;
  Evidence EvidenceOfResource(const Record& record) const;
  bool IsInForce(const Evidence& evidence, Time now) const;
  Time ExpiryOf(const Record& record) const;
  bool HasQuarantine(const Record& record) const;
  void DropWeakestCrash(Record& record) const;
  static std::set<Digest> RequestsOf(const Record& record);
  static world::CrashRecord ToRecord(Digest resource,
                                     const Record& record,
                                     Time now);
  void EvictExpired(Time now);

  QuarantineSettings settings_;
  std::map<Digest, Record> records_;  // by resource
};

}  // namespace ibisvalve::policy
