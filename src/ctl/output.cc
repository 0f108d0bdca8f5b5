#include "ctl/output.h"

#include <algorithm>
#include <ctime>

namespace ibisvalve::ctl {
namespace {

constexpr uint64_t kMicrosPerSecond = 1'000'000;
// Spaces between two columns.
constexpr size_t kColumnGap = 2;

// Replaces control characters, so that text from a daemon cannot send escape
// sequences to the terminal.
std::string Printable(std::string text) {
  for (char& character : text) {
    if (static_cast<unsigned char>(character) < ' ' || character == '\x7f') {
      character = '?';
    }
  }
  return text;
}

}  // namespace

Table::Table(std::vector<std::string> headings) {
  rows_.push_back(std::move(headings));
}

void Table::Add(std::vector<std::string> row) {
  row.resize(rows_.front().size());
  for (std::string& cell : row) {
    cell = cell.empty() ? "-" : Printable(cell);
  }
  rows_.push_back(std::move(row));
}

void Table::Print(std::ostream& out) const {
  std::vector<size_t> widths(rows_.front().size());
  for (const auto& row : rows_) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : rows_) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] + kColumnGap - row[i].size(), ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << '\n';
  }
}

std::string CellAt(const nlohmann::json& json, const std::string& key) {
  if (!json.is_object() || !json.contains(key)) {
    return "";
  }
  const nlohmann::json& value = json[key];
  if (value.is_string()) {
    return value.get<std::string>();
  }
  if (value.is_boolean()) {
    return value.get<bool>() ? "yes" : "no";
  }
  return value.is_null() ? ""
                         : value.dump(-1, ' ', false,
                                      nlohmann::json::error_handler_t::replace);
}

uint64_t NumberAt(const nlohmann::json& json, const std::string& key) {
  if (!json.is_object() || !json.contains(key) ||
      !json[key].is_number_unsigned()) {
    return 0;
  }
  return json[key].get<uint64_t>();
}

std::vector<nlohmann::json> ListAt(const nlohmann::json& json,
                                   const std::string& key) {
  if (!json.is_object() || !json.contains(key) || !json[key].is_array()) {
    return {};
  }
  return json[key].get<std::vector<nlohmann::json>>();
}

std::string FormatWallTime(uint64_t micros) {
  if (micros == 0) {
    return "";
  }
  const auto seconds = static_cast<time_t>(micros / kMicrosPerSecond);
  std::tm parts{};
  char text[32];
  if (gmtime_r(&seconds, &parts) == nullptr ||
      std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &parts) == 0) {
    return "";
  }
  return text;
}

std::string ToPrettyJson(const nlohmann::json& json) {
  constexpr int kIndent = 2;
  return json.dump(kIndent, ' ', false,
                   nlohmann::json::error_handler_t::replace);
}

}  // namespace ibisvalve::ctl
