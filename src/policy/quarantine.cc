#include "policy/quarantine.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace ibisvalve::policy {
namespace {

using world::CrashId;
using world::RequestIdentity;

void AppendTo(std::vector<Digest>& whole, const std::vector<Digest>& part) {
  whole.insert(whole.end(), part.begin(), part.end());
}

// Adds `part` to the effect of the whole report.
void Join(const CrashEffect& part, CrashEffect& whole) {
  whole.already_known &= part.already_known;
  AppendTo(whole.suspected, part.suspected);
  AppendTo(whole.quarantined, part.quarantined);
  AppendTo(whole.released, part.released);
  AppendTo(whole.quarantined_resources, part.quarantined_resources);
  AppendTo(whole.released_resources, part.released_resources);
}

}  // namespace

Quarantine::Quarantine(const QuarantineSettings& settings)
    : settings_(settings) {}

CrashEffect Quarantine::OnCrash(const CrashId& crash,
                                const std::vector<RequestIdentity>& in_flight,
                                Time now) {
  EvictExpired(now);
  CrashEffect effect;
  effect.already_known = true;
  for (const RequestIdentity& request : in_flight) {
    Join(Add(request.resource, {crash, request.request}, {now, false, false}),
         effect);
  }
  return effect;
}

CrashEffect Quarantine::Merge(const world::CrashRecord& record, Time now) {
  EvictExpired(now);
  CrashEffect effect;
  effect.already_known = true;
  const auto max_age_us = static_cast<uint64_t>(
      std::max(settings_.suspicion_period, settings_.quarantine_period)
          .count());
  for (const world::KnownCrash& known : record.crashes) {
    if (known.age_us < max_age_us) {
      const Time at = now - Duration(static_cast<int64_t>(known.age_us));
      Join(Add(record.resource, {known.id, known.request},
               {at, known.cleared, known.resource_cleared}),
           effect);
    }
  }
  return effect;
}

CrashEffect Quarantine::Add(Digest resource,
                            const Key& key,
                            const Crash& crash) {
  Record& record = records_[resource];
  const Digest request = key.second;
  const bool had_request = EvidenceOfRequest(record, request).quarantined;
  const bool had_resource = EvidenceOfResource(record).quarantined;
  const auto [entry, added] = record.emplace(key, crash);
  entry->second.cleared |= crash.cleared;
  entry->second.resource_cleared |= crash.resource_cleared;
  if (record.size() > settings_.max_crashes) {
    DropWeakestCrash(record);
  }
  CrashEffect effect;
  effect.already_known = !added;
  const Evidence of_request = EvidenceOfRequest(record, request);
  if (of_request.quarantined != had_request) {
    (had_request ? effect.released : effect.quarantined).push_back(request);
  } else if (added && !crash.cleared && of_request.crashes == 1) {
    effect.suspected.push_back(request);
  }
  if (EvidenceOfResource(record).quarantined != had_resource) {
    (had_resource ? effect.released_resources : effect.quarantined_resources)
        .push_back(resource);
  }
  return effect;
}

world::CrashRecord Quarantine::Find(Digest resource, Time now) const {
  const auto found = records_.find(resource);
  return found == records_.end() || now >= ExpiryOf(found->second)
             ? world::CrashRecord{resource, {}}
             : ToRecord(resource, found->second, now);
}

std::vector<world::CrashRecord> Quarantine::RepeatedCrashRecords(
    size_t max_records,
    Time now) const {
  std::vector<std::pair<Time, Digest>> latest;
  for (const auto& [resource, record] : records_) {
    if (now < ExpiryOf(record) &&
        world::WeightOf(ToRecord(resource, record, now)) !=
            world::CrashWeight::kNone) {
      latest.emplace_back(ExpiryOf(record), resource);
    }
  }
  std::sort(latest.rbegin(), latest.rend());
  latest.resize(std::min(latest.size(), max_records));
  std::vector<world::CrashRecord> records;
  records.reserve(latest.size());
  for (const auto& [expiry, resource] : latest) {
    records.push_back(ToRecord(resource, records_.at(resource), now));
  }
  return records;
}

bool Quarantine::OnAnswer(const RequestIdentity& request, Time now) {
  const auto found = records_.find(request.resource);
  if (found == records_.end() || now >= ExpiryOf(found->second)) {
    return false;
  }
  bool changed = false;
  for (auto& [key, crash] : found->second) {
    const bool clears = key.second == request.request;
    changed |= !crash.resource_cleared || (clears && !crash.cleared);
    crash.resource_cleared = true;
    crash.cleared |= clears;
  }
  return changed;
}

Verdict Quarantine::Check(const RequestIdentity& request, Time now) const {
  const auto found = records_.find(request.resource);
  if (found == records_.end()) {
    return Verdict::kClear;
  }
  const Evidence of_request = EvidenceOfRequest(found->second, request.request);
  if (IsInForce(of_request, now) ||
      IsInForce(EvidenceOfResource(found->second), now)) {
    return Verdict::kQuarantined;
  }
  const bool suspect = of_request.crashes > 0 && !of_request.quarantined &&
                       now < of_request.last + settings_.suspicion_period;
  return suspect ? Verdict::kSuspect : Verdict::kClear;
}

bool Quarantine::IsCleared(const RequestIdentity& request,
                           const CrashId& crash) const {
  const auto record = records_.find(request.resource);
  if (record == records_.end()) {
    return false;
  }
  const auto found = record->second.find({crash, request.request});
  return found != record->second.end() && found->second.cleared;
}

std::vector<Digest> Quarantine::Refute(
    const std::function<bool(const CrashId&)>& refutes) {
  std::vector<Digest> changed;
  for (auto& [resource, record] : records_) {
    bool counted = false;
    for (auto& [key, crash] : record) {
      if ((!crash.cleared || !crash.resource_cleared) && refutes(key.first)) {
        counted = crash.cleared = crash.resource_cleared = true;
      }
    }
    if (counted) {
      changed.push_back(resource);
    }
  }
  return changed;
}

bool Quarantine::Lift(Digest fingerprint, Time now) {
  bool lifted = false;
  for (auto& [resource, record] : records_) {
    const bool whole = resource == fingerprint;
    if (!IsInForce(whole ? EvidenceOfResource(record)
                         : EvidenceOfRequest(record, fingerprint),
                   now)) {
      continue;
    }
    lifted = true;
    for (auto& [key, crash] : record) {
      if (whole || key.second == fingerprint) {
        crash.cleared = true;
        crash.resource_cleared = true;
      }
    }
  }
  return lifted;
}

size_t Quarantine::CountSuspects(Time now) const {
  size_t suspects = 0;
  for (const auto& [resource, record] : records_) {
    for (const Digest& request : RequestsOf(record)) {
      suspects += Check({request, resource}, now) == Verdict::kSuspect ? 1 : 0;
    }
  }
  return suspects;
}

std::vector<QuarantineEntry> Quarantine::List(Time now) const {
  std::vector<QuarantineEntry> entries;
  const auto add = [&](QuarantineScope scope, Digest fingerprint,
                       const Evidence& evidence) {
    if (IsInForce(evidence, now)) {
      entries.push_back({scope, fingerprint, evidence.crashes,
                         evidence.last + settings_.quarantine_period});
    }
  };
  for (const auto& [resource, record] : records_) {
    add(QuarantineScope::kResource, resource, EvidenceOfResource(record));
    for (const Digest& request : RequestsOf(record)) {
      add(QuarantineScope::kRequest, request,
          EvidenceOfRequest(record, request));
    }
  }
  return entries;
}

Quarantine::Evidence Quarantine::EvidenceOfRequest(const Record& record,
                                                   Digest request) const {
  Evidence evidence;
  for (const auto& [key, crash] : record) {
    if (key.second == request && !crash.cleared) {
      ++evidence.crashes;
      evidence.last = std::max(evidence.last, crash.at);
    }
  }
  evidence.quarantined = evidence.crashes >= settings_.crash_threshold;
  return evidence;
}

// Crashes at all of which one request was in flight are evidence against that
// request only.
Quarantine::Evidence Quarantine::EvidenceOfResource(
    const Record& record) const {
  Evidence evidence;
  std::set<CrashId> crashes;
  std::map<Digest, uint32_t> by_request;
  uint32_t most = 0;
  for (const auto& [key, crash] : record) {
    if (!crash.resource_cleared) {
      crashes.insert(key.first);
      most = std::max(most, ++by_request[key.second]);
      evidence.last = std::max(evidence.last, crash.at);
    }
  }
  evidence.crashes = static_cast<uint32_t>(crashes.size());
  evidence.quarantined = evidence.crashes >= settings_.resource_threshold &&
                         most < evidence.crashes;
  return evidence;
}

bool Quarantine::IsInForce(const Evidence& evidence, Time now) const {
  return evidence.quarantined &&
         now < evidence.last + settings_.quarantine_period;
}

Time Quarantine::ExpiryOf(const Record& record) const {
  Time last{};
  for (const auto& [key, crash] : record) {
    last = std::max(last, crash.at);
  }
  return last +
         std::max(settings_.suspicion_period, settings_.quarantine_period);
}

bool Quarantine::HasQuarantine(const Record& record) const {
  const std::set<Digest> requests = RequestsOf(record);
  return EvidenceOfResource(record).quarantined ||
         std::any_of(requests.begin(), requests.end(),
                     [&](const Digest& request) {
                       return EvidenceOfRequest(record, request).quarantined;
                     });
}

// Drops the crash that weighs least: one that is cleared if possible, else one
// of a request with few crashes, else the oldest.
void Quarantine::DropWeakestCrash(Record& record) const {
  const auto weight = [&](const Record::value_type& entry) {
    const Crash& crash = entry.second;
    return std::tuple(!crash.cleared, !crash.resource_cleared,
                      EvidenceOfRequest(record, entry.first.second).crashes,
                      crash.at);
  };
  record.erase(std::min_element(
      record.begin(), record.end(),
      [&](const auto& a, const auto& b) { return weight(a) < weight(b); }));
}

std::set<Digest> Quarantine::RequestsOf(const Record& record) {
  std::set<Digest> requests;
  for (const auto& [key, crash] : record) {
    requests.insert(key.second);
  }
  return requests;
}

world::CrashRecord Quarantine::ToRecord(Digest resource,
                                        const Record& record,
                                        Time now) {
  world::CrashRecord result{resource, {}};
  for (const auto& [key, crash] : record) {
    const Duration age = std::max(now - crash.at, Duration(0));
    result.crashes.push_back({key.first, key.second,
                              static_cast<uint64_t>(age.count()), crash.cleared,
                              crash.resource_cleared});
  }
  return result;
}

void Quarantine::EvictExpired(Time now) {
  std::erase_if(records_, [&](const auto& entry) {
    return now >= ExpiryOf(entry.second);
  });
  // Evicts the records that expire first, those without a quarantine first.
  while (records_.size() > settings_.max_resources) {
    records_.erase(std::min_element(
        records_.begin(), records_.end(), [&](const auto& a, const auto& b) {
          const bool first = HasQuarantine(a.second);
          const bool second = HasQuarantine(b.second);
          return first != second ? second
                                 : ExpiryOf(a.second) < ExpiryOf(b.second);
        }));
  }
}

}  // namespace ibisvalve::policy
