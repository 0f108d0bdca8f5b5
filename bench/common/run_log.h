#pragma once

#include <string>

namespace ibisvalve::bench {

/// Writes a log file with one line at the start and one at the end of each run:
///   start MICROS run=RUN key=KEY METHOD PATH
///   end MICROS run=RUN key=KEY STATUS
/// A missing RUN or KEY is "-"; STATUS is an HTTP status, "cut" or
/// "cancelled". Each line is passed to the kernel before the target proceeds,
/// so that it survives a crash of the process.
class RunLog {
 public:
  /// Opens `path` for appending; an empty path disables the log. Throws
  /// SystemError if the file cannot be opened.
  explicit RunLog(const std::string& path);
  ~RunLog();
  RunLog(const RunLog&) = delete;
  RunLog& operator=(const RunLog&) = delete;

  /// Logs the start of a run.
  void Start(const std::string& run,
             const std::string& key,
             const std::string& method,
             const std::string& path);
  /// Logs the end of a run.
  void End(const std::string& run,
           const std::string& key,
           const std::string& status);

 private:
  void Write(const std::string& line);

  int fd_ = -1;
};

}  // namespace ibisvalve::bench
