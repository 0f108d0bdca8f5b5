#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace ibisvalve {

/// Severity of an event for the operator on call.
enum class Severity : uint8_t { kInfo, kWarning, kError };

/// Type of an event. Each library defines its event codes in its events.h;
/// docs/EVENTS.md lists them all. Number ranges: base and node 10xx, config
/// 11xx, net 12xx, membership 13xx, control 14xx, dataplane 15xx, claims 16xx,
/// policy 17xx, observe 18xx.
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
/// output. Quotes values that are empty or contain a space, a quote, a line
/// feed or '='. Never blocks: a line is dropped if the output is not ready to
/// take it or if the rate limit of its severity (lines per second) is reached.
/// A later event reports the number of dropped lines.
void LogEvent(const EventCode& code, std::initializer_list<EventField> fields);

/// Returns the number of lines dropped since the process started.
uint64_t DroppedLogLines();

/// Formats an event as in LogEvent but without time and severity, for tests and
/// admin pages.
std::string FormatEvent(const EventCode& code,
                        std::initializer_list<EventField> fields);

}  // namespace ibisvalve
