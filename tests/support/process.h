#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "base/base.h"

namespace ibisvalve::test {

/// A child process of a test. The destructor kills it by its process id if it
/// is still running.
class Process {
 public:
  /// Starts `program` with `arguments` and appends its stdout and stderr to the
  /// file `log`. Throws SystemError if the process cannot be started.
  Process(const std::string& program,
          const std::vector<std::string>& arguments,
          const std::string& log);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Sends the signal `number`, unless the exit status is already known.
  void Signal(int number);
  /// Waits up to `limit` for the process to exit. Returns its exit status, 128
  /// + the signal number if a signal ended it, or nullopt if it still runs.
  std::optional<int> Wait(Duration limit);
  pid_t pid() const { return pid_; }
  /// Sends SIGKILL and waits for the process to exit.
  void Kill();

 private:
  pid_t pid_ = -1;
  std::optional<int> status_;
};

}  // namespace ibisvalve::test
