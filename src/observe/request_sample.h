#pragma once

#include <compare>
#include <cstdint>

#include "base/base.h"
#include "world/world.h"

namespace ibisvalve::observe {

/// One request of a caller, ended, as burn reports count it.
struct RequestSample {
  ServiceName service;
  NodeId gate;  // that answered, or empty
  ZoneName gate_zone;
  world::Outcome outcome = world::Outcome::kNotRun;
  world::Reason reason = world::Reason::kNone;
  uint16_t status = 0;  // HTTP status that the caller saw
  Duration took{0};
  Duration deadline{0};
  bool hung_up = false;  // the caller left before the answer

  auto operator<=>(const RequestSample&) const = default;
};

}  // namespace ibisvalve::observe
