#include "node/crash_reports.h"

#include <algorithm>
#include <utility>

namespace ibisvalve::node {

std::vector<world::CrashRecord> CrashReports::Next(
    const std::vector<world::CrashRecord>& repeated,
    const std::function<world::CrashRecord(Digest)>& find,
    size_t max_crashes) {
  for (const world::CrashRecord& record : repeated) {
    told_.try_emplace(record.resource);
  }
  std::vector<world::CrashRecord> report;
  size_t crashes = 0;
  for (auto entry = told_.begin(); entry != told_.end();) {
    world::CrashRecord record = find(entry->first);
    if (record.crashes.empty()) {  // it has expired
      entry = told_.erase(entry);
      continue;
    }
    const Digest digest = world::DigestOf(record);
    const bool has_room =
        report.empty() || crashes + record.crashes.size() <= max_crashes;
    if (entry->second != digest && has_room) {
      entry->second = digest;
      crashes += record.crashes.size();
      report.push_back(std::move(record));
    }
    ++entry;
  }
  return report;
}

void CrashReports::Repeat() {
  for (auto& [resource, digest] : told_) {
    digest = Digest();
  }
}

}  // namespace ibisvalve::node
