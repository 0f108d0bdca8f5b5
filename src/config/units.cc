#include "config/units.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <numeric>
#include <span>
#include <string_view>

namespace ibisvalve::config {
namespace {

struct Unit {
  std::string_view name;
  uint64_t factor;
};

// In ascending order. Time factors are in microseconds, size factors in bytes.
constexpr Unit kTimeUnits[] = {
    {"us", 1},         {"ms", 1'000},        {"s", 1'000'000},
    {"m", 60'000'000}, {"h", 3'600'000'000}, {"d", 86'400'000'000}};
constexpr Unit kSizeUnits[] = {{"B", 1},
                               {"KiB", 1 << 10},
                               {"MiB", 1 << 20},
                               {"GiB", 1 << 30}};

// NearestWord allows one edit, plus one for each full group of this many
// letters in the longer word.
constexpr size_t kLettersPerEdit = 3;
// NearestWord suggests nothing for longer words, which are not misspelt keys.
constexpr size_t kMaxWordLength = 64;

// Parses a decimal number followed by one of `units`, to the smallest unit.
// Returns nothing if the result is not a whole number or is too large for a
// double to hold exactly.
std::optional<uint64_t> ParseWithUnit(const std::string& text,
                                      std::span<const Unit> units) {
  const size_t digits = text.find_first_not_of("0123456789.");
  if (digits == std::string::npos || digits == 0) {
    return std::nullopt;
  }
  const std::optional<double> number = ParseNumber(text.substr(0, digits));
  const std::string_view name = std::string_view(text).substr(digits);
  const auto unit =
      std::find_if(units.begin(), units.end(),
                   [&](const Unit& known) { return known.name == name; });
  if (!number || unit == units.end()) {
    return std::nullopt;
  }
  const double value = *number * static_cast<double>(unit->factor);
  constexpr double kMaxExactValue = 9e15;  // just below 2^53: exact as a double
  if (value > kMaxExactValue || value != std::floor(value)) {
    return std::nullopt;
  }
  return static_cast<uint64_t>(value);
}

std::string FormatWithUnit(uint64_t value, std::span<const Unit> units) {
  const Unit* best = &units.front();
  for (const Unit& unit : units) {
    if (value != 0 && value % unit.factor == 0) {
      best = &unit;
    }
  }
  return std::to_string(value / best->factor) + std::string(best->name);
}

// Returns the Levenshtein distance, in bytes.
size_t EditDistance(const std::string& from, const std::string& to) {
  std::vector<size_t> row(to.size() + 1);
  std::iota(row.begin(), row.end(), size_t{0});
  for (size_t i = 1; i <= from.size(); ++i) {
    size_t diagonal = row[0];
    row[0] = i;
    for (size_t j = 1; j <= to.size(); ++j) {
      const size_t changed = diagonal + (from[i - 1] == to[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({changed, row[j] + 1, row[j - 1] + 1});
    }
  }
  return row.back();
}

}  // namespace

std::optional<Duration> ParseDuration(const std::string& text) {
  const std::optional<uint64_t> micros = ParseWithUnit(text, kTimeUnits);
  if (!micros) {
    return std::nullopt;
  }
  return Duration(static_cast<Duration::rep>(*micros));
}

std::optional<uint64_t> ParseSize(const std::string& text) {
  return ParseWithUnit(text, kSizeUnits);
}

std::optional<double> ParseShare(const std::string& text) {
  if (text.empty() || text.back() != '%') {
    return std::nullopt;
  }
  const std::optional<double> percent =
      ParseNumber(text.substr(0, text.size() - 1));
  if (!percent) {
    return std::nullopt;
  }
  // Rounds to 1e-6 percent, so that 99.9% gives exactly 0.999.
  constexpr double kStepsPerPercent = 1e6;
  return std::round(*percent * kStepsPerPercent) / (kStepsPerPercent * 100);
}

std::optional<double> ParseNumber(const std::string& text) {
  double number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] =
      std::from_chars(text.data(), end, number, std::chars_format::fixed);
  if (error != std::errc() || stop != end || !std::isfinite(number)) {
    return std::nullopt;
  }
  return number;
}

std::optional<uint64_t> ParseUnsigned(const std::string& text) {
  uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end || text.empty()) {
    return std::nullopt;
  }
  return number;
}

std::string FormatDuration(Duration duration) {
  return FormatWithUnit(static_cast<uint64_t>(duration.count()), kTimeUnits);
}

std::string FormatSize(uint64_t bytes) {
  return FormatWithUnit(bytes, kSizeUnits);
}

std::string FormatShare(double share) {
  // Three decimals of a percent are enough for any objective, and the rounding
  // hides the representation error of a double.
  std::string text = std::to_string(std::round(share * 1e5) / 1e3);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') {
    text.pop_back();
  }
  return text + "%";
}

std::optional<std::string> NearestWord(const std::string& word,
                                       const std::vector<std::string>& known) {
  std::optional<std::string> nearest;
  size_t least = std::numeric_limits<size_t>::max();
  if (word.size() > kMaxWordLength) {
    return nearest;
  }
  for (const std::string& candidate : known) {
    const size_t distance = EditDistance(word, candidate);
    const size_t allowed =
        std::max(word.size(), candidate.size()) / kLettersPerEdit + 1;
    if (distance < least && distance <= allowed) {
      least = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

}  // namespace ibisvalve::config
