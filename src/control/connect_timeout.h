#pragma once

#include "base/base.h"

namespace ibisvalve::control {

/// Time after which a connection attempt to a keeper is given up and repeated.
/// It covers several round trips between regions, but is shorter than the
/// second after which a kernel repeats an unanswered connection request, so
/// that a host that returns is found soon.
inline constexpr Duration kKeeperConnectTimeout =
    std::chrono::milliseconds(250);

}  // namespace ibisvalve::control
