#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace ibisvalve::ctl {

/// Rows of text under headings, printed in columns.
class Table {
 public:
  explicit Table(std::vector<std::string> headings);

  /// Adds a row; missing cells stay empty. An empty cell prints as "-".
  void Add(std::vector<std::string> row);
  /// Prints headings and rows.
  void Print(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> rows_;  // the first: headings
};

/// Returns `json[key]` as text for a cell: a string without its quotes, a
/// number or truth value as it is, and "" for what is absent.
std::string CellAt(const nlohmann::json& json, const std::string& key);

/// Returns `json[key]` as a whole number, or 0 where it is none.
uint64_t NumberAt(const nlohmann::json& json, const std::string& key);

/// Returns `json[key]` as a list; empty where it is none.
std::vector<nlohmann::json> ListAt(const nlohmann::json& json,
                                   const std::string& key);

/// Returns microseconds since 1970 as "2026-01-31T08:15:00Z", or "" for 0.
std::string FormatWallTime(uint64_t micros);

/// Returns `json` as indented text that holds no invalid UTF-8.
std::string Pretty(const nlohmann::json& json);

}  // namespace ibisvalve::ctl
