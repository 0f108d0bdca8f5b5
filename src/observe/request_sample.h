#pragma once

#include <compare>
#include <cstdint>

#include "base/base.h"
#include "world/world.h"

namespace ibisvalve::observe {

/// A finished request of a caller, as counted by burn reports.
struct RequestSample {
  ServiceName service;
  NodeId gate;  // gate that answered; empty if none did
  ZoneName gate_zone;
  world::Outcome outcome = world::Outcome::kNotRun;
  world::Reason reason = world::Reason::kNone;
  uint16_t status = 0;  // HTTP status of the answer to the caller
  Duration took{0};
  Duration deadline{0};
  bool hung_up = false;  // the caller disconnected before the answer

  auto operator<=>(const RequestSample&) const = default;
};

}  // namespace ibisvalve::observe
