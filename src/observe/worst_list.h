#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace ibisvalve::observe {

/// Request counts of one target or zone.
struct WorstEntry {
  std::string name;
  uint64_t requests = 0;
  uint64_t bad = 0;  // of those, the ones not answered in time

  auto operator<=>(const WorstEntry&) const = default;
};

/// Counts requests by name in bounded memory. Keeps the names with the most bad
/// requests and sums the others in one entry named "others".
class WorstList {
 public:
  /// Keeps at most `limit` names; `limit` must be positive.
  explicit WorstList(size_t limit);

  /// Counts one request under `name`.
  void Add(const std::string& name, bool bad);
  /// Adds the counts of `entry`.
  void Add(const WorstEntry& entry);
  /// Adds all counts of `other`.
  void Merge(const WorstList& other);
  /// Removes all entries and resets the sum of the others.
  void Clear();
  /// Returns the entries in descending order of bad requests, then of all
  /// requests, with "others" last if it has any requests.
  std::vector<WorstEntry> Sorted() const;

 private:
  size_t limit_;
  std::vector<WorstEntry> entries_;
  WorstEntry others_;
};

}  // namespace ibisvalve::observe
