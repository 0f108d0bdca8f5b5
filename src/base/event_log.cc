#include "base/event_log.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <iomanip>
#include <sstream>

#include "base/events.h"
#include "base/line_sink.h"
#include "base/time.h"

namespace ibisvalve {
namespace {

// Higher than the rate that an engineer or a log store can make use of.
constexpr uint32_t kLinesPerSecond = 300;
// Below PIPE_BUF, so that a pipe takes each line in one atomic write.
constexpr size_t kMaxLineBytes = 3000;

LineSink& Sink() {
  static LineSink sink(STDOUT_FILENO, kLinesPerSecond);
  return sink;
}

// Returns the line prefix: date and time in UTC, and the severity.
std::string FormatPrefix(Severity severity) {
  const uint64_t micros = WallMicros();
  constexpr uint64_t kMicrosPerSecond = 1'000'000;
  const auto seconds = static_cast<time_t>(micros / kMicrosPerSecond);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 48> text{};
  const size_t length =
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  const size_t remaining = text.size() - length;
  std::snprintf(text.data() + length, remaining, ".%06uZ ",
                static_cast<unsigned>(micros % kMicrosPerSecond));
  const char* name = severity == Severity::kInfo      ? "info "
                     : severity == Severity::kWarning ? "warning "
                                                      : "error ";
  return std::string(text.data()) + name;
}

std::string ToBoundedLine(std::string line) {
  if (line.size() > kMaxLineBytes) {
    line.resize(kMaxLineBytes);
  }
  std::replace(line.begin(), line.end(), '\n', ' ');
  line += '\n';
  return line;
}

}  // namespace

std::string FormatEvent(const EventCode& code,
                        std::initializer_list<EventField> fields) {
  std::ostringstream line;
  line << "IV" << code.number << ' ' << code.name;
  for (const EventField& field : fields) {
    line << ' ' << field.key << '=';
    if (field.value.empty() ||
        field.value.find_first_of(" \"\n=") != std::string::npos) {
      line << std::quoted(field.value);
    } else {
      line << field.value;
    }
  }
  return line.str();
}

void LogEvent(const EventCode& code, std::initializer_list<EventField> fields) {
  const bool urgent = code.severity != Severity::kInfo;
  const Time now = SystemClock().Now();
  if (Sink().Write(FormatPrefix(code.severity) +
                       ToBoundedLine(FormatEvent(code, fields)),
                   urgent, now)) {
    if (const uint64_t dropped = Sink().TakeDropped(); dropped > 0) {
      Sink().Write(
          FormatPrefix(kLogDropped.severity) +
              ToBoundedLine(FormatEvent(kLogDropped, {{"lines", dropped}})),
          true, now);
    }
  }
}

uint64_t DroppedLogLines() {
  return Sink().dropped();
}

}  // namespace ibisvalve
