#include "policy/quarantine.h"

#include <algorithm>
#include <utility>

namespace ibisvalve::policy {
namespace {

using world::CrashId;

// Adds `part` to the effect of the whole report.
void Join(const CrashEffect& part, CrashEffect& whole) {
  whole.already_known &= part.already_known;
  whole.suspected.insert(whole.suspected.end(), part.suspected.begin(),
                         part.suspected.end());
  whole.quarantined.insert(whole.quarantined.end(), part.quarantined.begin(),
                           part.quarantined.end());
  whole.released.insert(whole.released.end(), part.released.begin(),
                        part.released.end());
}

}  // namespace

Quarantine::Quarantine(const QuarantineSettings& settings)
    : settings_(settings) {}

CrashEffect Quarantine::OnCrash(const CrashId& crash,
                                const std::vector<Digest>& in_flight,
                                Time now) {
  EvictExpired(now);
  CrashEffect effect;
  effect.already_known = true;
  for (const Digest& fingerprint : in_flight) {
    Join(Add(fingerprint, crash, {now, false}), effect);
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
      Join(Add(record.request, known.id, {at, known.cleared}), effect);
    }
  }
  return effect;
}

CrashEffect Quarantine::Add(Digest fingerprint,
                            const CrashId& id,
                            const Crash& crash) {
  Record& record = records_[fingerprint];
  const bool quarantined = IsQuarantined(record);
  const auto [entry, added] = record.emplace(id, crash);
  entry->second.cleared |= crash.cleared;
  if (record.size() > settings_.max_crashes) {
    DropOldestCrash(record);
  }
  CrashEffect effect;
  effect.already_known = !added;
  if (IsQuarantined(record) != quarantined) {
    (quarantined ? effect.released : effect.quarantined).push_back(fingerprint);
  } else if (added && !crash.cleared && CountCrashes(record) == 1) {
    effect.suspected.push_back(fingerprint);
  }
  return effect;
}

world::CrashRecord Quarantine::Find(Digest fingerprint, Time now) const {
  const auto found = records_.find(fingerprint);
  return found == records_.end() || now >= ExpiryOf(found->second)
             ? world::CrashRecord{fingerprint, {}}
             : ToRecord(fingerprint, found->second, now);
}

std::vector<world::CrashRecord> Quarantine::QuarantineRecords(
    size_t max_records,
    Time now) const {
  std::vector<std::pair<Time, Digest>> latest;
  for (const auto& [fingerprint, record] : records_) {
    if (record.size() >= settings_.crash_threshold && now < ExpiryOf(record)) {
      latest.emplace_back(ExpiryOf(record), fingerprint);
    }
  }
  std::sort(latest.rbegin(), latest.rend());
  latest.resize(std::min(latest.size(), max_records));
  std::vector<world::CrashRecord> records;
  records.reserve(latest.size());
  for (const auto& [expiry, fingerprint] : latest) {
    records.push_back(ToRecord(fingerprint, records_.at(fingerprint), now));
  }
  return records;
}

bool Quarantine::OnAnswer(Digest fingerprint, Time now) {
  const bool known = Check(fingerprint, now) != Verdict::kClear;
  if (known) {
    ClearOfAllCrashes(records_.at(fingerprint));
  }
  return known;
}

Verdict Quarantine::Check(Digest fingerprint, Time now) const {
  const auto found = records_.find(fingerprint);
  if (found == records_.end() || now >= ExpiryOf(found->second) ||
      CountCrashes(found->second) == 0) {
    return Verdict::kClear;
  }
  return IsQuarantined(found->second) ? Verdict::kQuarantined
                                      : Verdict::kSuspect;
}

bool Quarantine::Lift(Digest fingerprint, Time now) {
  const bool quarantined = Check(fingerprint, now) == Verdict::kQuarantined;
  if (quarantined) {
    ClearOfAllCrashes(records_.at(fingerprint));
  }
  return quarantined;
}

size_t Quarantine::CountSuspects(Time now) const {
  return static_cast<size_t>(
      std::count_if(records_.begin(), records_.end(), [&](const auto& entry) {
        return Check(entry.first, now) == Verdict::kSuspect;
      }));
}

std::vector<QuarantineEntry> Quarantine::List(Time now) const {
  std::vector<QuarantineEntry> entries;
  for (const auto& [fingerprint, record] : records_) {
    if (now < ExpiryOf(record) && IsQuarantined(record)) {
      entries.push_back({fingerprint, CountCrashes(record), ExpiryOf(record)});
    }
  }
  return entries;
}

// Returns the number of crashes of which the request has not been cleared.
uint32_t Quarantine::CountCrashes(const Record& record) const {
  return static_cast<uint32_t>(
      std::count_if(record.begin(), record.end(),
                    [](const auto& entry) { return !entry.second.cleared; }));
}

bool Quarantine::IsQuarantined(const Record& record) const {
  return CountCrashes(record) >= settings_.crash_threshold;
}

Time Quarantine::ExpiryOf(const Record& record) const {
  Time last{};
  for (const auto& [id, crash] : record) {
    last = std::max(last, crash.at);
  }
  return last + (IsQuarantined(record) ? settings_.quarantine_period
                                       : settings_.suspicion_period);
}

void Quarantine::ClearOfAllCrashes(Record& record) {
  for (auto& [id, crash] : record) {
    crash.cleared = true;
  }
}

// Drops the oldest crash, one of which the request has been cleared if
// possible.
void Quarantine::DropOldestCrash(Record& record) {
  record.erase(std::min_element(
      record.begin(), record.end(), [](const auto& a, const auto& b) {
        return a.second.cleared != b.second.cleared ? a.second.cleared
                                                    : a.second.at < b.second.at;
      }));
}

world::CrashRecord Quarantine::ToRecord(Digest fingerprint,
                                        const Record& record,
                                        Time now) {
  world::CrashRecord result{fingerprint, {}};
  for (const auto& [id, crash] : record) {
    const Duration age = std::max(now - crash.at, Duration(0));
    result.crashes.push_back(
        {id, static_cast<uint64_t>(age.count()), crash.cleared});
  }
  return result;
}

void Quarantine::EvictExpired(Time now) {
  std::erase_if(records_, [&](const auto& entry) {
    return now >= ExpiryOf(entry.second);
  });
  // Evicts the entries that expire first, suspects before quarantined requests.
  while (records_.size() > settings_.max_fingerprints) {
    records_.erase(std::min_element(
        records_.begin(), records_.end(), [&](const auto& a, const auto& b) {
          const bool first = IsQuarantined(a.second);
          const bool second = IsQuarantined(b.second);
          return first != second ? second
                                 : ExpiryOf(a.second) < ExpiryOf(b.second);
        }));
  }
}

}  // namespace ibisvalve::policy
