#pragma once

#include <span>
#include <vector>

#include "policy/choice.h"
#include "world/world.h"

namespace ibisvalve::policy {

/// Settings of the weighed choice for one service.
struct WeighSettings {
  uint32_t choices = 3;     // targets compared for each request
  bool prefer_zone = true;  // stay in the zone of the ingress
  double spill_at = 0.8;    // busy share of that zone that opens the others
  bool declared_shares = false;  // zones get traffic by Candidate::share
  Duration hint_half_life = std::chrono::milliseconds(100);
  Duration cold_ramp = std::chrono::seconds(5);  // until full traffic

  auto operator<=>(const WeighSettings&) const = default;
};

/// Returns the settings that follow from a service's routing.
WeighSettings WeighSettingsFor(const world::Routing& routing);

/// Picks the cheapest of a few targets drawn at random. The cost of a target
/// is the time a request would take there by its last hint, whose weight
/// fades with age in favour of what this ingress has in flight there. Failures
/// count as load. Other zones join as the own one fills up.
class WeighedChooser {
 public:
  explicit WeighedChooser(const WeighSettings& settings = {});

  /// Returns the index of the picked candidate; `candidates` is not empty.
  size_t Choose(std::span<const Candidate> candidates,
                Time now,
                Random& random);
  /// Returns the expected cost of one more request at `candidate`, in
  /// microseconds where its service time is known. `usual_service` stands in
  /// for a service time that is not known.
  double Cost(const Candidate& candidate,
              Duration usual_service,
              Time now) const;

 private:
  std::vector<size_t> Usable(std::span<const Candidate> candidates) const;
  std::vector<size_t> InZones(std::span<const Candidate> candidates,
                              const std::vector<size_t>& usable,
                              Time now,
                              Random& random) const;
  std::vector<size_t> InDrawnZone(std::span<const Candidate> candidates,
                                  const std::vector<size_t>& usable,
                                  Random& random) const;
  double Load(const Candidate& candidate, Time now) const;
  double Ramp(const Candidate& candidate, Time now) const;

  WeighSettings settings_;
};

}  // namespace ibisvalve::policy
