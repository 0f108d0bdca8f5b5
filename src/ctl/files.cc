#include "ctl/files.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

#include "ctl/session.h"

namespace ibisvalve::ctl {

std::string ReadFile(const std::string& name) {
  std::ifstream stream(name, std::ios::binary);
  std::ostringstream text;
  if (stream) {
    text << stream.rdbuf();
  }
  if (!stream || !text) {
    throw CommandError(ExitCode::kUsage,
                       "cannot read " + name + ": " + std::strerror(errno));
  }
  return text.str();
}

void WriteFile(const std::string& name, const std::string& text) {
  std::ofstream stream(name, std::ios::binary | std::ios::trunc);
  stream << text;
  stream.close();
  if (!stream) {
    throw CommandError(ExitCode::kRefused,
                       "cannot write " + name + ": " + std::strerror(errno));
  }
}

}  // namespace ibisvalve::ctl
