#include "ctl/validate.h"

#include <sstream>

#include "config/config.h"
#include "ctl/files.h"
#include "ctl/output.h"

namespace ibisvalve::ctl {
namespace {

// Returns whether `text` is a settings file rather than a configuration file.
// Only settings have "role" at the top level. Settings without it are
// recognised by "id" or "target".
bool LooksLikeSettings(const std::string& text) {
  std::istringstream lines(text);
  bool settings = false;
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with("ibisvalve:") || line.starts_with("services:")) {
      return false;
    }
    settings = settings || line.starts_with("role:") ||
               line.starts_with("id:") || line.starts_with("target:");
  }
  return settings;
}

nlohmann::json ToJson(const Finding& finding) {
  return {{"file", finding.place.file},     {"line", finding.place.line},
          {"column", finding.place.column}, {"path", finding.place.path},
          {"problem", finding.problem},     {"advice", finding.advice}};
}

}  // namespace

std::vector<Finding> CheckFile(const std::string& text,
                               const std::string& file) {
  try {
    if (LooksLikeSettings(text)) {
      config::ParseSettings(text, file);
    } else {
      config::ParseFleet(text, file);
    }
  } catch (const InvalidInput& error) {
    return error.findings();
  }
  return {};
}

void PrintFindings(Session& session, const std::vector<Finding>& findings) {
  if (session.json()) {
    nlohmann::json list = nlohmann::json::array();
    for (const Finding& finding : findings) {
      list.push_back(ToJson(finding));
    }
    session.out() << ToPrettyJson(
                         {{"valid", findings.empty()}, {"findings", list}})
                  << '\n';
    return;
  }
  for (const Finding& finding : findings) {
    session.out() << ToString(finding) << '\n';
  }
}

ExitCode RunValidate(Session& session) {
  const std::vector<std::string>& files = session.options().arguments;
  if (files.empty()) {
    throw CommandError(ExitCode::kUsage, "validate expects at least one FILE");
  }
  std::vector<Finding> findings;
  for (const std::string& file : files) {
    const std::vector<Finding> more = CheckFile(ReadFile(file), file);
    findings.insert(findings.end(), more.begin(), more.end());
  }
  PrintFindings(session, findings);
  if (!session.json()) {
    session.out() << (findings.empty()
                          ? "valid"
                          : std::to_string(findings.size()) + " faults")
                  << '\n';
  }
  return findings.empty() ? ExitCode::kOk : ExitCode::kUsage;
}

}  // namespace ibisvalve::ctl
