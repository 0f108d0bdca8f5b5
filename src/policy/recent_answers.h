#pragma once

#include <map>

#include "base/base.h"

namespace ibisvalve::policy {

/// The requests that targets have answered recently. Such a request does not
/// end each target that runs it.
class RecentAnswers {
 public:
  /// Time for which an answer counts. One that is older says little about a
  /// request that has changed its effect since.
  static constexpr Duration kPeriod = std::chrono::seconds(3);

  /// Records an answer to the request with this fingerprint.
  void Add(Digest request, Time now);
  /// Returns whether the request was answered within kPeriod.
  bool Contains(Digest request, Time now) const;

 private:
  using Answers = std::map<Digest, Time>;  // time of the last answer

  // Answers since the last rotation, and those of one period before it.
  Answers current_;
  Answers previous_;
  Time rotated_{};
};

}  // namespace ibisvalve::policy
