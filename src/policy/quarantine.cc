#include "policy/quarantine.h"

#include <algorithm>

namespace ibisvalve::policy {

Quarantine::Quarantine(const QuarantineSettings& settings)
    : settings_(settings) {}

CrashEffect Quarantine::OnCrash(const CrashId& crash,
                                const std::vector<Digest>& in_flight,
                                Time now) {
  EvictExpired(now);
  CrashEffect effect{true, {}, {}};
  for (const Digest& fingerprint : in_flight) {
    Record& record = records_[fingerprint];
    if (!record.emplace(crash, Crash{now, false}).second) {
      continue;
    }
    effect.already_known = false;
    if (record.size() > settings_.max_crashes) {
      DropOldestCrash(record);
    }
    const uint32_t crashes = CountCrashes(record);
    if (crashes == settings_.crash_threshold) {
      effect.quarantined.push_back(fingerprint);
    } else if (crashes == 1) {
      effect.suspected.push_back(fingerprint);
    }
  }
  return effect;
}

void Quarantine::OnAnswer(Digest fingerprint, Time now) {
  const auto found = records_.find(fingerprint);
  // A quarantine lasts until it expires or is lifted: a response that was
  // already in flight is no evidence about the runs that crashed.
  if (found == records_.end() ||
      (IsQuarantined(found->second) && now < ExpiryOf(found->second))) {
    return;
  }
  for (auto& [id, crash] : found->second) {
    crash.cleared = true;
  }
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
    for (auto& [id, crash] : records_.at(fingerprint)) {
      crash.cleared = true;
    }
  }
  return quarantined;
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

// Drops the oldest crash, one of which the request has been cleared if
// possible.
void Quarantine::DropOldestCrash(Record& record) const {
  record.erase(std::min_element(
      record.begin(), record.end(), [](const auto& a, const auto& b) {
        return a.second.cleared != b.second.cleared ? a.second.cleared
                                                    : a.second.at < b.second.at;
      }));
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
