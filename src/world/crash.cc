#include "world/crash.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace ibisvalve::world {

CrashWeight WeightOf(const CrashRecord& record) {
  std::map<Digest, uint32_t> of_request;
  std::map<Digest, uint32_t> of_request_for_resource;
  std::set<CrashId> of_resource;
  uint32_t most_of_request = 0;
  uint32_t most_for_resource = 0;
  for (const KnownCrash& crash : record.crashes) {
    if (!crash.cleared) {
      most_of_request = std::max(most_of_request, ++of_request[crash.request]);
    }
    if (!crash.resource_cleared) {
      of_resource.insert(crash.id);
      most_for_resource =
          std::max(most_for_resource, ++of_request_for_resource[crash.request]);
    }
  }
  if (most_of_request >= kRequestCrashThreshold ||
      (of_resource.size() >= kResourceCrashThreshold &&
       most_for_resource < of_resource.size())) {
    return CrashWeight::kQuarantines;
  }
  return of_resource.size() + 1 >= kResourceCrashThreshold
             ? CrashWeight::kSuspicious
             : CrashWeight::kNone;
}

Digest DigestOf(const CrashRecord& record) {
  std::vector<KnownCrash> crashes = record.crashes;
  std::sort(crashes.begin(), crashes.end());
  std::string text = ToHex(record.resource);
  for (const KnownCrash& crash : crashes) {
    text += ' ' + crash.id.gate.value + '/' +
            std::to_string(crash.id.incarnation.value) + '/' +
            std::to_string(crash.id.number) + '/' + ToHex(crash.request) +
            (crash.cleared ? '-' : '+') + (crash.resource_cleared ? '-' : '+');
  }
  return ibisvalve::DigestOf(text);
}

bool Clears(const CrashRecord& known, const CrashRecord& told) {
  std::map<std::pair<CrashId, Digest>, const KnownCrash*> by_key;
  for (const KnownCrash& crash : known.crashes) {
    by_key.emplace(std::pair(crash.id, crash.request), &crash);
  }
  return std::any_of(
      told.crashes.begin(), told.crashes.end(), [&](const KnownCrash& crash) {
        const auto found = by_key.find({crash.id, crash.request});
        return found != by_key.end() &&
               ((found->second->cleared && !crash.cleared) ||
                (found->second->resource_cleared && !crash.resource_cleared));
      });
}

}  // namespace ibisvalve::world
