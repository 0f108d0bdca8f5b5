#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/base.h"

namespace ibisvalve::world {

/// Identifies a run of a target, from its start to its end. A later run has a
/// later start.
struct TargetRun {
  uint64_t started_ms = 0;  // wall clock; 0: not given
  Digest identity;          // of the identity that it announced; 0: none

  auto operator<=>(const TargetRun&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(started_ms, identity);
  }
};

/// The runs of one host's target that have announced their departure. At most
/// kMaxRuns are kept, those with the latest starts, and one for each identity.
/// Sets of several processes can be joined in any order.
class DepartedRuns {
 public:
  static constexpr size_t kMaxRuns = 4;

  auto operator<=>(const DepartedRuns&) const = default;

  /// Returns this set joined with `run`. A run without a start and an identity
  /// cannot be told from others and is not added.
  DepartedRuns With(const TargetRun& run) const;
  /// Returns this set joined with `other`.
  DepartedRuns With(const DepartedRuns& other) const;
  /// Returns whether `run`, or a later run with its identity, is in the set.
  bool Names(const TargetRun& run) const;
  /// Returns whether `run` has departed as far as the set can tell. Besides the
  /// runs that it names, these are the runs with a start before all of a full
  /// set, which may have been displaced.
  bool Covers(const TargetRun& run) const;
  /// Returns whether joining `other` would not change this set.
  bool Includes(const DepartedRuns& other) const {
    return With(other) == *this;
  }
  bool empty() const { return runs_.empty(); }
  /// Returns the runs in ascending order.
  const std::vector<TargetRun>& runs() const { return runs_; }

  template <typename Archive>
  void save(Archive& archive) const {
    archive(runs_);
  }
  template <typename Archive>
  void load(Archive& archive) {
    std::vector<TargetRun> runs;
    archive(runs);
    *this = {};
    for (const TargetRun& run : runs) {
      *this = With(run);
    }
  }

 private:
  std::vector<TargetRun> runs_;
};

}  // namespace ibisvalve::world
