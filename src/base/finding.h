#pragma once

#include <compare>
#include <stdexcept>
#include <string>
#include <vector>

namespace ibisvalve {

/// A place in a file; lines and columns count from 1, and 0 means unknown.
struct Place {
  std::string file;
  int line = 0;
  int column = 0;
  std::string path;  // such as "services[2].deadline"

  auto operator<=>(const Place&) const = default;
};

/// One thing wrong with an input, and what to write instead.
struct Finding {
  Place place;
  std::string problem;
  std::string advice;

  auto operator<=>(const Finding&) const = default;
};

/// Returns "file:line:column: path: problem; advice".
std::string ToString(const Finding& finding);

/// Thrown when an input has faults: carries all of them, in file order.
class InvalidInput : public std::runtime_error {
 public:
  /// Takes at least one finding.
  explicit InvalidInput(std::vector<Finding> findings);
  /// Returns every fault found.
  const std::vector<Finding>& findings() const { return findings_; }

 private:
  std::vector<Finding> findings_;
};

/// Thrown when the operating system refuses something: what, and its reason.
class SystemError : public std::runtime_error {
 public:
  /// Joins `what` with the text of the error number `error`.
  SystemError(const std::string& what, int error);
};

}  // namespace ibisvalve
