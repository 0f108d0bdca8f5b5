#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "world/world.h"

namespace ibisvalve::ctl {

/// Output format of results.
enum class OutputFormat : uint8_t { kTable, kJson };

/// Parsed command line of ibisctl.
struct Options {
  std::string command;
  std::vector<std::string> arguments;   // words after the command
  std::vector<world::Endpoint> admins;  // admin addresses, tried in turn
  OutputFormat output = OutputFormat::kTable;
  Duration timeout = std::chrono::seconds(30);  // limit of the whole command
  Duration call_timeout = std::chrono::seconds(5);  // limit of one HTTP request
  Duration retry_delay =
      std::chrono::milliseconds(200);  // delay between two attempts
  bool wait = true;                    // apply: wait for the final result
  std::string change;                  // apply: id; generated if empty
  std::optional<Revision> base;        // apply: default is the active one
  std::optional<Revision> revision;    // show: default is the active one
  std::string html;                    // report: HTML file to write

  auto operator<=>(const Options&) const = default;
};

}  // namespace ibisvalve::ctl
