#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"

namespace ibisvalve::config {

/// Parses a duration with its unit, such as "250us", "250ms", "2s", "10m",
/// "24h" or "7d". Returns nothing if `text` is not a duration, is not a whole
/// number of microseconds or is above 9e15 us.
std::optional<Duration> ParseDuration(const std::string& text);

/// Parses a size with its unit, such as "512B", "64KiB", "1MiB" or "1GiB", to
/// bytes. Returns nothing if `text` is not a size, is not a whole number of
/// bytes or is above 9e15 bytes.
std::optional<uint64_t> ParseSize(const std::string& text);

/// Parses a percentage to a fraction: "99.5%" gives 0.995. Returns nothing if
/// `text` is not a percentage.
std::optional<double> ParseShare(const std::string& text);

/// Parses a finite decimal number without a unit or an exponent. Returns
/// nothing if `text` is not one.
std::optional<double> ParseNumber(const std::string& text);

/// Parses an unsigned integer. Returns nothing if `text` is not one or does not
/// fit.
std::optional<uint64_t> ParseUnsigned(const std::string& text);

/// Formats `duration` in the largest unit that divides it evenly.
std::string FormatDuration(Duration duration);

/// Formats `bytes` in the largest unit that divides it evenly.
std::string FormatSize(uint64_t bytes);

/// Formats `share` in percent, with up to three decimals and no trailing zeros.
std::string FormatShare(double share);

/// Returns the word in `known` with the smallest edit distance to `word`, or
/// nothing if none is close enough to be a likely misspelling.
std::optional<std::string> NearestWord(const std::string& word,
                                       const std::vector<std::string>& known);

}  // namespace ibisvalve::config
