#pragma once

#include <optional>
#include <string>

#include "base/base.h"

namespace ibisvalve::bench {

/// Parses a duration with a unit, such as "250us", "2.5ms" or "3s". Returns
/// nullopt if `text` is invalid or negative.
std::optional<Duration> ParseDuration(const std::string& text);

}  // namespace ibisvalve::bench
