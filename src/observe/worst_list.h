#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace ibisvalve::observe {

/// Requests that ended at one target or in one zone.
struct WorstEntry {
  std::string name;
  uint64_t requests = 0;
  uint64_t bad = 0;  // of those, not answered in time

  auto operator<=>(const WorstEntry&) const = default;
};

/// Counts by name in bounded memory: keeps the names with the most bad
/// requests, and adds up the rest as "others".
class WorstList {
 public:
  /// Keeps at most `limit` names, which must be positive.
  explicit WorstList(size_t limit);

  /// Counts one request.
  void Add(const std::string& name, bool bad);
  /// Adds the counts of `entry`.
  void Add(const WorstEntry& entry);
  /// Adds the counts of `other`.
  void Merge(const WorstList& other);
  /// Forgets everything.
  void Clear();
  /// Returns the entries, the most bad requests first, "others" last.
  std::vector<WorstEntry> Sorted() const;

 private:
  size_t limit_;
  std::vector<WorstEntry> entries_;
  WorstEntry others_;
};

}  // namespace ibisvalve::observe
