#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"

namespace ibisvalve::config {

/// Parses a duration with its unit: "250us", "250ms", "2s", "10m", "24h",
/// "7d". Returns nothing when `text` is not one or does not fit.
std::optional<Duration> ParseDuration(const std::string& text);

/// Parses a size with its unit: "512B", "64KiB", "1MiB", "1GiB". Returns
/// bytes, or nothing when `text` is not one or does not fit.
std::optional<uint64_t> ParseSize(const std::string& text);

/// Parses a share with its unit, "99.5%", as 0.995. Returns nothing when
/// `text` is not one.
std::optional<double> ParseShare(const std::string& text);

/// Parses a finite decimal number without a unit.
std::optional<double> ParseNumber(const std::string& text);

/// Parses a whole number that is not negative.
std::optional<uint64_t> ParseWhole(const std::string& text);

/// Returns `duration` with the largest unit that leaves no rest.
std::string FormatDuration(Duration duration);

/// Returns `bytes` with the largest unit that leaves no rest.
std::string FormatSize(uint64_t bytes);

/// Returns `share` in percent, with as few digits as it needs.
std::string FormatShare(double share);

/// Returns the one of `known` that is closest to `word` in letters changed, or
/// nothing when none is close.
std::optional<std::string> NearestWord(const std::string& word,
                                       const std::vector<std::string>& known);

}  // namespace ibisvalve::config
