#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace ibisvalve::ctl {

/// Table of text cells, printed in aligned columns under headings.
class Table {
 public:
  explicit Table(std::vector<std::string> headings);

  /// Adds a row. Missing and empty cells are printed as "-". Replaces control
  /// characters by '?'.
  void Add(std::vector<std::string> row);
  /// Prints the headings and all rows.
  void Print(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> rows_;  // the first holds the headings
};

/// Returns `json[key]` as text for a table cell: a string without quotes, a
/// boolean as "yes" or "no", any other value as JSON, and "" if it is absent
/// or null.
std::string CellAt(const nlohmann::json& json, const std::string& key);

/// Returns `json[key]`, or 0 if it is not an unsigned integer.
uint64_t NumberAt(const nlohmann::json& json, const std::string& key);

/// Returns the elements of `json[key]`, or an empty list if it is not an array.
std::vector<nlohmann::json> ListAt(const nlohmann::json& json,
                                   const std::string& key);

/// Returns `micros`, a time in microseconds since 1970, in the form
/// "2026-01-31T08:15:00Z" (UTC), or "" for 0.
std::string FormatWallTime(uint64_t micros);

/// Returns `json` as indented text. Replaces invalid UTF-8.
std::string ToPrettyJson(const nlohmann::json& json);

}  // namespace ibisvalve::ctl
