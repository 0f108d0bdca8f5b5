#pragma once

#include <span>
#include <vector>

#include "policy/choice.h"
#include "world/world.h"

namespace ibisvalve::policy {

/// Settings of WeighedChooser for one service.
struct WeighedChooserSettings {
  uint32_t choices = 3;          // targets compared per request
  bool prefer_zone = true;       // prefers the zone of the ingress
  double spill_at = 0.8;         // utilization of that zone for spill-over
  bool declared_shares = false;  // draws the zone by Candidate::share
  Duration hint_half_life = std::chrono::milliseconds(100);
  Duration slow_start = std::chrono::seconds(5);  // until full traffic

  auto operator<=>(const WeighedChooserSettings&) const = default;
};

/// Returns the settings for a service with the given routing.
WeighedChooserSettings WeighedChooserSettingsFor(const world::Routing& routing);

/// Weighted power of k choices: draws a few targets at random and picks the one
/// with the lowest cost. The cost is the expected time of a request by the last
/// hint. The weight of a hint decays with its age, in favour of the requests
/// that this ingress has in flight at the target. Failures count as load. As
/// the zone of the ingress fills up, an increasing share of requests includes
/// the other zones.
class WeighedChooser {
 public:
  explicit WeighedChooser(const WeighedChooserSettings& settings = {});

  /// Returns the index of the chosen candidate; `candidates` must not be empty.
  size_t Choose(std::span<const Candidate> candidates,
                Time now,
                Random& random);
  /// Returns the expected cost of one more request at `candidate`, in
  /// microseconds. `default_service_time` is the service time for a candidate
  /// whose hint has none.
  double Cost(const Candidate& candidate,
              Duration default_service_time,
              Time now) const;

 private:
  std::vector<size_t> FilterUsable(std::span<const Candidate> candidates) const;
  std::vector<size_t> FilterByZone(std::span<const Candidate> candidates,
                                   const std::vector<size_t>& usable,
                                   Time now,
                                   Random& random) const;
  std::vector<size_t> DrawZone(std::span<const Candidate> candidates,
                               const std::vector<size_t>& usable,
                               Random& random) const;
  double Load(const Candidate& candidate, Time now) const;
  double SlowStartFactor(const Candidate& candidate, Time now) const;

  WeighedChooserSettings settings_;
};

}  // namespace ibisvalve::policy
