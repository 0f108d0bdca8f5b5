#include "support/process.h"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>

namespace ibisvalve::test {
namespace {

constexpr Duration kKillLimit = std::chrono::seconds(10);

}  // namespace

Process::Process(const std::string& program,
                 const std::vector<std::string>& arguments,
                 const std::string& log) {
  std::vector<char*> argv{const_cast<char*>(program.c_str())};
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  const int error = posix_spawn(&pid_, program.c_str(), &files, nullptr,
                                argv.data(), environ);
  posix_spawn_file_actions_destroy(&files);
  if (error != 0) {
    throw SystemError("cannot start " + program, error);
  }
}

Process::~Process() {
  Kill();
}

void Process::Signal(int number) {
  if (!status_) {
    kill(pid_, number);
  }
}

std::optional<int> Process::Wait(Duration limit) {
  if (status_) {
    return status_;
  }
  // A pidfd becomes readable when the process exits.
  const int fd = static_cast<int>(syscall(SYS_pidfd_open, pid_, 0));
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(limit).count();
  pollfd poll_entry{fd, POLLIN, 0};
  const bool ended = poll(&poll_entry, 1, static_cast<int>(milliseconds)) > 0;
  close(fd);
  int status = 0;
  if (ended && waitpid(pid_, &status, 0) == pid_) {
    status_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  }
  return status_;
}

void Process::Kill() {
  Signal(SIGKILL);
  Wait(kKillLimit);
}

}  // namespace ibisvalve::test
