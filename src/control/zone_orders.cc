#include "control/zone_orders.h"

namespace ibisvalve::control {

void ZoneOrders::Apply(const OrderZone& order) {
  const bool changed = order.evacuated ? evacuated_.insert(order.zone).second
                                       : evacuated_.erase(order.zone) > 0;
  version_ += changed ? 1 : 0;
}

}  // namespace ibisvalve::control
