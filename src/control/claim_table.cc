#include "control/claim_table.h"

#include <algorithm>

namespace ibisvalve::control {
namespace {

// How long a released key is remembered.
constexpr uint64_t kReleasedKeyRetentionUs = 60'000'000;

}  // namespace

size_t ClaimTable::KeyHash::operator()(const wire::RequestKey& key) const {
  constexpr size_t kHashMultiplier = 0x9E3779B97F4A7C15ULL;
  return std::hash<std::string>()(key.service.value) * kHashMultiplier ^
         std::hash<std::string>()(key.key);
}

wire::ClaimReply ClaimTable::Apply(const ClaimKey& claim) {
  AdvanceClock(claim.clock_us);
  const auto found = records_.find(claim.key);
  const bool held = found != records_.end() && !found->second.released;
  if (held) {
    const Record& record = found->second;
    if (record.body != claim.body) {
      return {0, wire::ClaimVerdict::kMismatch, {}, 0};
    }
    const bool same = record.holder == claim.holder;
    return {0, same ? wire::ClaimVerdict::kGranted : wire::ClaimVerdict::kTaken,
            record.holder, record.status};
  }
  if (found != records_.end() && found->second.holder == claim.holder) {
    // The release of this claim was applied first, so its holder no longer
    // waits for the key.
    return {0, wire::ClaimVerdict::kUnavailable, {}, 0};
  }
  Insert(claim.key, Record{claim.body, claim.holder, 0, false,
                           clock_us_ + claim.retention_us});
  return {0, wire::ClaimVerdict::kGranted, claim.holder, 0};
}

void ClaimTable::Apply(const SettleKey& settle) {
  AdvanceClock(settle.clock_us);
  const auto found = records_.find(settle.key);
  const bool held = found != records_.end() && !found->second.released;
  if (held && found->second.holder != settle.holder) {
    return;
  }
  if (settle.status == 0) {
    Insert(settle.key, Record{Digest(), settle.holder, 0, true,
                              clock_us_ + kReleasedKeyRetentionUs});
  } else if (held) {
    found->second.status = settle.status;
  }
}

void ClaimTable::AdvanceClock(uint64_t clock_us) {
  clock_us_ = std::max(clock_us_, clock_us);
  while (!expiry_.empty() && expiry_.begin()->first <= clock_us_) {
    Erase(wire::RequestKey(*expiry_.begin()->second));
  }
}

void ClaimTable::Insert(const wire::RequestKey& key, const Record& record) {
  Erase(key);
  const auto inserted = records_.emplace(key, record).first;
  expiry_.emplace(record.expires_us, &inserted->first);
}

void ClaimTable::Erase(const wire::RequestKey& key) {
  const auto found = records_.find(key);
  if (found == records_.end()) {
    return;
  }
  const auto [first, last] = expiry_.equal_range(found->second.expires_us);
  const auto entry = std::find_if(first, last, [&](const auto& candidate) {
    return candidate.second == &found->first;
  });
  if (entry != last) {
    expiry_.erase(entry);
  }
  records_.erase(found);
}

}  // namespace ibisvalve::control
