#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/units.h"
#include "config/yaml_document.h"
#include "world/world.h"

namespace ibisvalve::config {

/// Converts a YAML value to a T. Reports a finding and returns nothing if the
/// value is invalid.
template <typename T>
using Converter = std::function<std::optional<T>(const YamlValue&)>;

/// Returns a converter for durations with a unit, from `low` to `high`.
Converter<Duration> DurationBetween(Duration low, Duration high);
/// Returns a converter for sizes with a unit, from `low` to `high` bytes.
Converter<uint64_t> SizeBetween(uint64_t low, uint64_t high);
/// Returns a converter for percentages, which gives fractions from `low` to
/// `high`; 1 is 100%.
Converter<double> ShareBetween(double low, double high);
/// Returns a converter for decimal numbers without a unit, from `low` to
/// `high`.
Converter<double> NumberBetween(double low, double high);
/// Returns a converter for unsigned integers, from `low` to `high`.
Converter<uint32_t> IntegerBetween(uint32_t low, uint32_t high);
/// Returns a converter for `true` and `false`.
Converter<bool> Boolean();
/// Returns a converter for URI paths, which start with '/' and consist of
/// printable ASCII characters other than space, '?' and '#'.
Converter<std::string> UriPath();
/// Returns a converter for non-empty strings, such as directory paths.
Converter<std::string> NonEmptyText();
/// Returns a converter for "ip:port". With `fixed_port`, rejects port 0, with
/// which the operating system would choose a free port.
Converter<world::Endpoint> Address(bool fixed_port);
/// Returns a converter for names of 1 to 64 ASCII letters, digits, '-', '_' and
/// '.', which do not start with '-' or '.'.
Converter<std::string> NameText();

/// Returns a converter for names that gives the identifier type `Id`.
template <typename Id>
Converter<Id> Name() {
  return [text = NameText()](const YamlValue& value) -> std::optional<Id> {
    const std::optional<std::string> name = text(value);
    return name ? std::optional<Id>(*name) : std::nullopt;
  };
}

/// Maps each accepted word to its value.
template <typename T>
using Words = std::vector<std::pair<std::string, T>>;

/// Reports that `word`, the text of `value`, is not one of `known`, and
/// suggests the nearest of them.
void ReportUnknownWord(const YamlValue& value,
                       const std::string& word,
                       const std::vector<std::string>& known);

/// Returns a converter that accepts only `words`.
template <typename T>
Converter<T> OneOf(Words<T> words) {
  return
      [words = std::move(words)](const YamlValue& value) -> std::optional<T> {
        std::vector<std::string> known;
        for (const auto& [word, meaning] : words) {
          known.push_back(word);
        }
        const std::optional<std::string> text = value.Scalar("one word");
        if (!text) {
          return std::nullopt;
        }
        for (const auto& [word, meaning] : words) {
          if (word == *text) {
            return meaning;
          }
        }
        ReportUnknownWord(value, *text, known);
        return std::nullopt;
      };
}

}  // namespace ibisvalve::config
