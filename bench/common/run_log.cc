#include "bench/common/run_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>

#include "base/base.h"

namespace ibisvalve::bench {
namespace {

const std::string& OrDash(const std::string& text) {
  static const std::string dash = "-";
  return text.empty() ? dash : text;
}

std::string Identity(const std::string& run, const std::string& key) {
  return std::to_string(WallMicros()) + " run=" + OrDash(run) +
         " key=" + OrDash(key);
}

}  // namespace

RunLog::RunLog(const std::string& path) {
  if (path.empty()) {
    return;
  }
  constexpr int kMode = 0644;
  fd_ = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kMode);
  if (fd_ < 0) {
    throw SystemError("cannot open run log " + path, errno);
  }
}

RunLog::~RunLog() {
  if (fd_ >= 0) {
    close(fd_);
  }
}

void RunLog::Start(const std::string& run,
                   const std::string& key,
                   const std::string& method,
                   const std::string& path) {
  Write("start " + Identity(run, key) + " " + method + " " + path + "\n");
}

void RunLog::End(const std::string& run,
                 const std::string& key,
                 const std::string& status) {
  Write("end " + Identity(run, key) + " " + status + "\n");
}

void RunLog::Write(const std::string& line) {
  if (fd_ < 0) {
    return;
  }
  const ssize_t written = write(fd_, line.data(), line.size());
  if (written != static_cast<ssize_t>(line.size())) {
    throw SystemError("cannot write the run log", errno);
  }
}

}  // namespace ibisvalve::bench
