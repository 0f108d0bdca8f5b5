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

/// How answers are printed.
enum class OutputFormat : uint8_t { kTable, kJson };

/// A command line of ibisctl, parsed.
struct Options {
  std::string command;
  std::vector<std::string> arguments;   // after the command
  std::vector<world::Endpoint> admins;  // admin addresses, tried in turn
  OutputFormat output = OutputFormat::kTable;
  Duration timeout = std::chrono::seconds(30);      // of the whole command
  Duration call_timeout = std::chrono::seconds(5);  // of one HTTP request
  Duration pause = std::chrono::milliseconds(200);  // between two tries
  bool wait = true;                                 // apply: until it is over
  std::string change;                               // apply: empty makes one
  std::optional<Revision> base;                     // apply: none asks for it
  std::optional<Revision> revision;                 // show: none is the active
  std::string html;                                 // report: file to write

  auto operator<=>(const Options&) const = default;
};

}  // namespace ibisvalve::ctl
