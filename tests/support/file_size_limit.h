#pragma once

#include <sys/resource.h>
#include <sys/types.h>

#include <cerrno>

#include "base/base.h"

namespace ibisvalve::test {

/// Limits the size of the files that a process writes, so that its writes fail
/// as on a full disk. The destructor lifts the limit.
class FileSizeLimit {
 public:
  /// Limits files of the process `pid` (0: this one) to `bytes`. Throws
  /// SystemError.
  explicit FileSizeLimit(rlim_t bytes, pid_t pid = 0) : pid_(pid) {
    if (prlimit(pid_, RLIMIT_FSIZE, nullptr, &before_) != 0) {
      throw SystemError("cannot read the limit on file sizes", errno);
    }
    const rlimit limit{bytes, before_.rlim_max};
    if (prlimit(pid_, RLIMIT_FSIZE, &limit, nullptr) != 0) {
      throw SystemError("cannot limit file sizes", errno);
    }
  }
  ~FileSizeLimit() { prlimit(pid_, RLIMIT_FSIZE, &before_, nullptr); }
  FileSizeLimit(const FileSizeLimit&) = delete;
  FileSizeLimit& operator=(const FileSizeLimit&) = delete;

 private:
  pid_t pid_;
  rlimit before_{};
};

}  // namespace ibisvalve::test
