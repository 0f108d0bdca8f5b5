#pragma once

#include <optional>
#include <string>

#include "base/base.h"

namespace ibisvalve::bench {

/// Parses a duration with its unit, such as "250us", "2.5ms" or "3s"; returns
/// nothing where `text` is not one, or is negative.
std::optional<Duration> ParseDuration(const std::string& text);

}  // namespace ibisvalve::bench
