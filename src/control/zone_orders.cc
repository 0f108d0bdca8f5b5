#include "control/zone_orders.h"

#include <algorithm>

namespace ibisvalve::control {

ZoneOrderResult ZoneOrders::Apply(const OrderZone& order, uint64_t index) {
  const bool changes = evacuated_.contains(order.zone) != order.evacuated;
  uint64_t& ordered_at = ordered_at_[order.zone];
  if (changes && ordered_at > order.known) {
    return ZoneOrderResult::kSuperseded;
  }
  ordered_at = index;
  if (changes && order.evacuated) {
    evacuated_.insert(order.zone);
  } else if (changes) {
    evacuated_.erase(order.zone);
  }
  version_ += changes ? 1 : 0;
  return ZoneOrderResult::kCarriedOut;
}

uint64_t ZoneOrders::last_order() const {
  uint64_t last = 0;
  for (const auto& [zone, index] : ordered_at_) {
    last = std::max(last, index);
  }
  return last;
}

}  // namespace ibisvalve::control
