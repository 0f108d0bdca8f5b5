#pragma once

#include <compare>
#include <cstdint>
#include <limits>
#include <map>
#include <set>

#include "wire/wire.h"
#include "world/world.h"

namespace ibisvalve::control {

/// Command that evacuates a zone or takes its evacuation back.
struct OrderZone {
  ZoneName zone;
  bool evacuated = false;
  // Index of a log entry that was applied where the order was received before
  // it was sent.
  uint64_t known = 0;

  auto operator<=>(const OrderZone&) const = default;

  template <typename Archive>
  void save(Archive& archive) const {
    archive(zone, evacuated, known);
  }
  template <typename Archive>
  void load(Archive& archive) {
    archive(zone, evacuated);
    // Entries of earlier releases end here; they were applied in any case.
    known = std::numeric_limits<uint64_t>::max();
    if (archive.remaining_bytes() > 0) {
      archive(known);
    }
  }
};

/// What became of an OrderZone.
enum class ZoneOrderResult : uint8_t {
  kCarriedOut,
  kSuperseded,  // refused: a later order about the zone was carried out
};

/// Replicated set of the zones whose targets get no requests. Deterministic:
/// replicas that apply the same commands hold the same set.
class ZoneOrders {
 public:
  /// Applies an order that is the log entry `index`. One that changes nothing
  /// keeps the version. One that would undo an order which its receiver did not
  /// know is refused: it was delayed, and may have been sent before that.
  ZoneOrderResult Apply(const OrderZone& order, uint64_t index);
  /// Returns the evacuated zones.
  const std::set<ZoneName>& evacuated() const { return evacuated_; }
  /// Returns the number of changes so far. Nodes report the version they have.
  uint64_t version() const { return version_; }
  /// Returns the index of the last order that was carried out; 0: none.
  uint64_t last_order() const;

  template <typename Archive>
  void save(Archive& archive) const {
    archive(evacuated_, version_, ordered_at_);
  }
  template <typename Archive>
  void load(Archive& archive) {
    archive(evacuated_, version_);
    // Snapshots of earlier releases end here.
    if (archive.remaining_bytes() > 0) {
      archive(ordered_at_);
    }
  }

 private:
  std::set<ZoneName> evacuated_;
  uint64_t version_ = 0;
  // Index of the last order that was carried out, by zone.
  std::map<ZoneName, uint64_t> ordered_at_;
};

}  // namespace ibisvalve::control
