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

/// Turns a YAML value into a T; reports what is wrong and returns nothing
/// where it cannot.
template <typename T>
using Converter = std::function<std::optional<T>(const YamlValue&)>;

/// Durations with a unit, from `low` to `high`.
Converter<Duration> DurationBetween(Duration low, Duration high);
/// Sizes with a unit, from `low` to `high` bytes.
Converter<uint64_t> SizeBetween(uint64_t low, uint64_t high);
/// Shares in percent, from `low` to `high`, where 1 is 100%.
Converter<double> ShareBetween(double low, double high);
/// Decimal numbers without a unit.
Converter<double> NumberBetween(double low, double high);
/// Whole numbers.
Converter<uint32_t> WholeBetween(uint32_t low, uint32_t high);
/// true or false.
Converter<bool> Boolean();
/// Paths of URIs: start with '/', printable, no blanks.
Converter<std::string> UriPath();
/// Folders and other texts that may not be empty.
Converter<std::string> Text();
/// "ip:port"; `fixed_port` refuses port 0, which lets the system pick one.
Converter<world::Endpoint> Address(bool fixed_port);
/// Names as text: letters, digits, dashes, dots and underscores.
Converter<std::string> NameText();

/// Names of one kind.
template <typename Id>
Converter<Id> Name() {
  return [text = NameText()](const YamlValue& value) -> std::optional<Id> {
    const std::optional<std::string> name = text(value);
    return name ? std::optional<Id>(*name) : std::nullopt;
  };
}

/// One word of a fixed list, and what it stands for.
template <typename T>
using Words = std::vector<std::pair<std::string, T>>;

/// Reports that `value` holds `word`, which is none of `known`.
void ReportUnknownWord(const YamlValue& value,
                       const std::string& word,
                       const std::vector<std::string>& known);

/// One of a fixed list of words.
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
