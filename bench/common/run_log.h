#pragma once

#include <string>

namespace ibisvalve::bench {

/// File with one line for the start and one for the end of each run:
///   start MICROS run=RUN key=KEY METHOD PATH
///   end MICROS run=RUN key=KEY STATUS
/// A missing RUN or KEY is "-"; STATUS is an HTTP status, "cut" or
/// "cancelled". Each
/// line has been handed to the system before the target goes on, so it
/// survives the death of the process.
class RunLog {
 public:
  /// Appends to `path`; an empty path logs nothing. Throws SystemError.
  explicit RunLog(const std::string& path);
  ~RunLog();
  RunLog(const RunLog&) = delete;
  RunLog& operator=(const RunLog&) = delete;

  /// Notes that a run started.
  void Start(const std::string& run,
             const std::string& key,
             const std::string& method,
             const std::string& path);
  /// Notes that it ended.
  void End(const std::string& run,
           const std::string& key,
           const std::string& status);

 private:
  void Write(const std::string& line);

  int fd_ = -1;
};

}  // namespace ibisvalve::bench
