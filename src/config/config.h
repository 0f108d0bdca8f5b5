#pragma once

/// Public header of the config library, which parses the fleet configuration
/// and the settings of a daemon from YAML.

#include <string>

#include "config/settings.h"  // IWYU pragma: export
#include "config/units.h"     // IWYU pragma: export
#include "world/world.h"

namespace ibisvalve::config {

/// Parses the content `text` of a fleet configuration file. `file` is its name
/// in findings. Throws InvalidInput with every error in the file.
world::Fleet ParseFleet(const std::string& text, const std::string& file);

/// Parses the content `text` of a daemon's settings file. `file` is its name in
/// findings. Throws InvalidInput with every error in the file.
Settings ParseSettings(const std::string& text, const std::string& file);

}  // namespace ibisvalve::config
