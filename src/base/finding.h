#pragma once

#include <compare>
#include <stdexcept>
#include <string>
#include <vector>

namespace ibisvalve {

/// Position in an input file. Lines and columns start at 1; 0 means unknown.
struct Place {
  std::string file;
  int line = 0;
  int column = 0;
  std::string path;  // path of the setting, such as "services[2].deadline"

  auto operator<=>(const Place&) const = default;
};

/// An error in an input, with advice on how to correct it.
struct Finding {
  Place place;
  std::string problem;
  std::string advice;

  auto operator<=>(const Finding&) const = default;
};

/// Returns "file:line:column: path: problem; advice".
std::string ToString(const Finding& finding);

/// Thrown when an input is invalid. Contains all findings, in file order.
class InvalidInput : public std::runtime_error {
 public:
  /// Creates the exception; `findings` must not be empty.
  explicit InvalidInput(std::vector<Finding> findings);
  /// Returns all findings, in file order.
  const std::vector<Finding>& findings() const { return findings_; }

 private:
  std::vector<Finding> findings_;
};

/// Thrown when a system call fails.
class SystemError : public std::runtime_error {
 public:
  /// Sets the message to `what` followed by the text for errno value `error`.
  SystemError(const std::string& what, int error);
};

}  // namespace ibisvalve
