#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "base/base.h"

namespace ibisvalve::test {

/// A program that a test started; ended by its process id at the latest when
/// the object is destroyed.
class Process {
 public:
  /// Starts `program` with `arguments`; its output goes to the file `log`.
  /// Throws SystemError.
  Process(const std::string& program,
          const std::vector<std::string>& arguments,
          const std::string& log);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Sends the signal `number`.
  void Signal(int number);
  /// Waits until it has ended, for `limit` at most; returns its exit status,
  /// or 128 + signal, or nothing when it still runs.
  std::optional<int> Wait(Duration limit);
  /// Ends it at once (SIGKILL) and waits for that.
  void Kill();

 private:
  pid_t pid_ = -1;
  std::optional<int> status_;
};

}  // namespace ibisvalve::test
