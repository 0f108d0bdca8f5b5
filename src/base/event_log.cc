#include "base/event_log.h"

#include <glog/logging.h>

#include <iomanip>
#include <sstream>

namespace ibisvalve {

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
  const std::string line = FormatEvent(code, fields);
  switch (code.severity) {
    case Severity::kInfo:
      LOG(INFO) << line;
      break;
    case Severity::kWarning:
      LOG(WARNING) << line;
      break;
    case Severity::kError:
      LOG(ERROR) << line;
      break;
  }
}

}  // namespace ibisvalve
