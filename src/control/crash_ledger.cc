#include "control/crash_ledger.h"

#include <algorithm>

namespace ibisvalve::control {
namespace {

// As long as nodes quarantine a request after its last crash.
constexpr uint64_t kRetentionUs = 600'000'000;
constexpr size_t kMaxResources = 256;
constexpr size_t kMaxCrashesPerResource = 32;

// A crash lies in the past by its age, whatever the clocks say.
uint64_t TimeOf(const world::KnownCrash& crash, uint64_t now_us) {
  return now_us - std::min(now_us, crash.age_us);
}

}  // namespace

void CrashLedger::Apply(const AddCrashes& add) {
  for (const world::CrashRecord& record : add.records) {
    Resource& resource = resources_[record.resource];
    for (const world::KnownCrash& known : record.crashes) {
      const Key key(known.id, known.request);
      if (!resource.contains(key) &&
          resource.size() >= kMaxCrashesPerResource) {
        continue;
      }
      Crash& crash = resource.try_emplace(key, Crash{TimeOf(known, add.at_us)})
                         .first->second;
      crash.cleared |= known.cleared;
      crash.resource_cleared |= known.resource_cleared;
    }
  }
  Trim(add.at_us);
  ++version_;
}

bool CrashLedger::HasNews(const AddCrashes& add) const {
  const auto is_new = [](const Resource& resource,
                         const world::KnownCrash& known) {
    const auto found = resource.find({known.id, known.request});
    if (found == resource.end()) {
      return resource.size() < kMaxCrashesPerResource;
    }
    return (known.cleared && !found->second.cleared) ||
           (known.resource_cleared && !found->second.resource_cleared);
  };
  return std::any_of(add.records.begin(), add.records.end(),
                     [&](const world::CrashRecord& record) {
                       const auto found = resources_.find(record.resource);
                       return std::any_of(
                           record.crashes.begin(), record.crashes.end(),
                           [&](const world::KnownCrash& known) {
                             return known.age_us < kRetentionUs &&
                                    (found == resources_.end() ||
                                     is_new(found->second, known));
                           });
                     });
}

std::vector<world::CrashRecord> CrashLedger::Records(uint64_t now_us) const {
  std::vector<world::CrashRecord> records;
  for (const auto& [digest, resource] : resources_) {
    if (LastCrash(resource) + kRetentionUs <= now_us) {
      continue;
    }
    world::CrashRecord record{digest, {}};
    for (const auto& [key, crash] : resource) {
      record.crashes.push_back({key.first, key.second,
                                now_us - std::min(now_us, crash.at_us),
                                crash.cleared, crash.resource_cleared});
    }
    records.push_back(std::move(record));
  }
  return records;
}

uint64_t CrashLedger::LastCrash(const Resource& resource) {
  uint64_t last = 0;
  for (const auto& [key, crash] : resource) {
    last = std::max(last, crash.at_us);
  }
  return last;
}

void CrashLedger::Trim(uint64_t now_us) {
  std::erase_if(resources_, [&](const auto& entry) {
    return LastCrash(entry.second) + kRetentionUs <= now_us;
  });
  while (resources_.size() > kMaxResources) {
    resources_.erase(std::min_element(
        resources_.begin(), resources_.end(), [](const auto& a, const auto& b) {
          return LastCrash(a.second) < LastCrash(b.second);
        }));
  }
}

}  // namespace ibisvalve::control
