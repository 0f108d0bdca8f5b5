#pragma once

#include <compare>
#include <cstdint>
#include <set>

#include "wire/wire.h"
#include "world/world.h"

namespace ibisvalve::control {

/// Command that evacuates a zone or takes its evacuation back.
struct OrderZone {
  ZoneName zone;
  bool evacuated = false;

  auto operator<=>(const OrderZone&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(zone, evacuated);
  }
};

/// Replicated set of the zones whose targets get no requests. Deterministic:
/// replicas that apply the same commands hold the same set.
class ZoneOrders {
 public:
  /// Applies an order. One that changes nothing keeps the version.
  void Apply(const OrderZone& order);
  /// Returns the evacuated zones.
  const std::set<ZoneName>& evacuated() const { return evacuated_; }
  /// Returns the number of changes so far. Nodes report the version they have.
  uint64_t version() const { return version_; }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(evacuated_, version_);
  }

 private:
  std::set<ZoneName> evacuated_;
  uint64_t version_ = 0;
};

}  // namespace ibisvalve::control
