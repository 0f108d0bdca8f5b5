#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace ibisvalve {

/// How much an event matters to whoever is on call.
enum class Severity : uint8_t { kInfo, kWarning, kError };

/// A kind of event. Each library keeps its own in events.h; docs/EVENTS.md
/// lists them all. Numbers by library: base and node 10xx, config 11xx, net
/// 12xx, membership 13xx, control 14xx, dataplane 15xx, claims 16xx, policy
/// 17xx, observe 18xx.
struct EventCode {
  int number;
  Severity severity;
  std::string_view name;
};

/// One key=value pair of an event.
struct EventField {
  std::string_view key;
  std::string value;

  EventField(std::string_view name, std::string text)
      : key(name), value(std::move(text)) {}
  EventField(std::string_view name, uint64_t number)
      : key(name), value(std::to_string(number)) {}
};

/// Writes one line "TIME severity IV1001 name key=value ..." to standard
/// output. Values with spaces or quotes are quoted. Never blocks: a line that
/// the reader has no room for, or that goes beyond the bound of its severity a
/// second, is dropped; a later line says how many were.
void LogEvent(const EventCode& code, std::initializer_list<EventField> fields);

/// Returns how many lines were dropped since the start.
uint64_t DroppedLogLines();

/// Returns the line without its time and severity, for tests and admin pages.
std::string FormatEvent(const EventCode& code,
                        std::initializer_list<EventField> fields);

}  // namespace ibisvalve
