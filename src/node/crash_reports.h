#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <vector>

#include "base/base.h"
#include "world/world.h"

namespace ibisvalve::node {

/// Selects what a node tells the keepers about crashes of targets: records that
/// count against a request or a resource, and what became of those that it has
/// told before. A record is told again only after it has changed. Pure.
class CrashReports {
 public:
  /// Returns the records of the next report, with at most `max_crashes` crashes
  /// unless the first record alone has more; the rest follow in later reports.
  /// `repeated` are the records that count at present, and `find` returns the
  /// one of a resource.
  std::vector<world::CrashRecord> Next(
      const std::vector<world::CrashRecord>& repeated,
      const std::function<world::CrashRecord(Digest)>& find,
      size_t max_crashes);
  /// Tells everything again, because earlier reports may have been lost.
  void Repeat();

 private:
  // By resource: digest of the record that was last told; 0 to tell it again.
  std::map<Digest, Digest> told_;
};

}  // namespace ibisvalve::node
