#include "policy/quarantine.h"

#include <algorithm>

namespace ibisvalve::policy {

Quarantine::Quarantine(const QuarantineSettings& settings)
    : settings_(settings) {}

CrashEffect Quarantine::OnCrash(const CrashId& crash,
                                const std::vector<Digest>& in_flight,
                                Time now) {
  EvictExpired(now);
  const Time expiry =
      now + std::max(settings_.suspicion_period, settings_.quarantine_period);
  if (!known_crashes_.emplace(crash, expiry).second) {
    return {true, {}, {}};
  }
  CrashEffect effect;
  for (const Digest& fingerprint : in_flight) {
    Suspect& suspect = suspects_[fingerprint];
    const bool before = IsQuarantined(suspect);
    // A set, as a request can be in flight several times at one crash.
    suspect.crashes.insert(crash);
    const bool after = IsQuarantined(suspect);
    suspect.until = now + (after ? settings_.quarantine_period
                                 : settings_.suspicion_period);
    if (after && !before) {
      effect.quarantined.push_back(fingerprint);
    } else if (!after && suspect.crashes.size() == 1) {
      effect.suspected.push_back(fingerprint);
    }
  }
  return effect;
}

void Quarantine::OnAnswer(Digest fingerprint, Time now) {
  const auto found = suspects_.find(fingerprint);
  if (found == suspects_.end()) {
    return;
  }
  // A quarantine lasts until it expires or is lifted: a response that was
  // already in flight is no evidence about the runs that crashed.
  if (!IsQuarantined(found->second) || now >= found->second.until) {
    suspects_.erase(found);
  }
}

Verdict Quarantine::Check(Digest fingerprint, Time now) const {
  const auto found = suspects_.find(fingerprint);
  if (found == suspects_.end() || now >= found->second.until) {
    return Verdict::kClear;
  }
  return IsQuarantined(found->second) ? Verdict::kQuarantined
                                      : Verdict::kSuspect;
}

bool Quarantine::Lift(Digest fingerprint, Time now) {
  const bool quarantined = Check(fingerprint, now) == Verdict::kQuarantined;
  if (quarantined) {
    suspects_.erase(fingerprint);
  }
  return quarantined;
}

std::vector<QuarantineEntry> Quarantine::List(Time now) const {
  std::vector<QuarantineEntry> entries;
  for (const auto& [fingerprint, suspect] : suspects_) {
    if (now < suspect.until && IsQuarantined(suspect)) {
      entries.push_back({fingerprint,
                         static_cast<uint32_t>(suspect.crashes.size()),
                         suspect.until});
    }
  }
  return entries;
}

bool Quarantine::IsQuarantined(const Suspect& suspect) const {
  return suspect.crashes.size() >= settings_.crash_threshold;
}

void Quarantine::EvictExpired(Time now) {
  std::erase_if(known_crashes_,
                [&](const auto& entry) { return now >= entry.second; });
  std::erase_if(suspects_,
                [&](const auto& entry) { return now >= entry.second.until; });
  // Evicts the entries that expire first, suspects before quarantined requests.
  while (suspects_.size() > settings_.max_fingerprints) {
    suspects_.erase(std::min_element(
        suspects_.begin(), suspects_.end(), [&](const auto& a, const auto& b) {
          const bool first = IsQuarantined(a.second);
          const bool second = IsQuarantined(b.second);
          return first != second ? second : a.second.until < b.second.until;
        }));
  }
}

}  // namespace ibisvalve::policy
