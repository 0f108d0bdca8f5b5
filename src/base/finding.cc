#include "base/finding.h"

#include <glog/logging.h>

#include <cstring>

namespace ibisvalve {
namespace {

std::string JoinFindings(const std::vector<Finding>& findings) {
  std::string text;
  for (const Finding& finding : findings) {
    if (!text.empty()) {
      text += '\n';
    }
    text += ToString(finding);
  }
  return text;
}

}  // namespace

std::string ToString(const Finding& finding) {
  const Place& place = finding.place;
  std::string text = place.file;
  if (place.line > 0) {
    text +=
        ":" + std::to_string(place.line) + ":" + std::to_string(place.column);
  }
  text += text.empty() ? "" : ": ";
  if (!place.path.empty()) {
    text += place.path + ": ";
  }
  text += finding.problem;
  if (!finding.advice.empty()) {
    text += "; " + finding.advice;
  }
  return text;
}

InvalidInput::InvalidInput(std::vector<Finding> findings)
    : std::runtime_error(JoinFindings(findings)),
      findings_(std::move(findings)) {
  CHECK(!findings_.empty()) << "InvalidInput requires at least one finding";
}

SystemError::SystemError(const std::string& what, int error)
    : std::runtime_error(what + ": " + std::strerror(error)) {}

}  // namespace ibisvalve
