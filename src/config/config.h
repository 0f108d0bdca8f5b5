#pragma once

/// Public header of the config library: both YAML formats to values.

#include <string>

#include "config/settings.h"  // IWYU pragma: export
#include "config/units.h"     // IWYU pragma: export
#include "world/world.h"

namespace ibisvalve::config {

/// Parses a configuration file whose content is `text`; `file` names it in
/// findings. Throws InvalidInput with every fault found.
world::Fleet ParseFleet(const std::string& text, const std::string& file);

/// Parses a daemon's settings in the same manner.
Settings ParseSettings(const std::string& text, const std::string& file);

}  // namespace ibisvalve::config
