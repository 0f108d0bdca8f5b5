#pragma once

#include <nlohmann/json.hpp>

#include <ostream>
#include <stdexcept>
#include <string>
#include <vector>

#include "ctl/exit_code.h"
#include "ctl/options.h"
#include "net/net.h"

namespace ibisvalve::ctl {

/// Thrown where a command cannot go on: the message for the operator, and the
/// exit code.
class CommandError : public std::runtime_error {
 public:
  CommandError(ExitCode code, const std::string& message)
      : std::runtime_error(message), code_(code) {}
  ExitCode code() const { return code_; }

 private:
  ExitCode code_;
};

/// Returns `word` when it is fit for a query as it is: letters, digits, '-',
/// '_', '.' and ':'. Throws CommandError (kUsage) otherwise.
std::string CheckedWord(const std::string& word);

/// An answer of an admin page.
struct PageAnswer {
  world::Endpoint from;
  int status = 0;  // 0: no answer
  std::string body;
  std::string error;    // why there is no answer
  nlohmann::json json;  // of the body; discarded where it is none

  /// Returns whether the page was served.
  bool ok() const { return status >= 200 && status < 300; }
  /// Returns what to tell an operator when it was not.
  std::string Fault() const;
};

/// One run of a command: its options, its outputs, and HTTP to the daemons.
class Session {
 public:
  /// `loop` and the streams must outlive it.
  Session(net::EventLoop& loop,
          const Options& options,
          std::ostream& out,
          std::ostream& err);

  const Options& options() const { return options_; }
  std::ostream& out() { return out_; }
  std::ostream& err() { return err_; }
  bool json() const { return options_.output == OutputFormat::kJson; }
  Time Now() const { return loop_.Now(); }

  /// Sends one request and waits for its end.
  PageAnswer Fetch(const world::Endpoint& server,
                   const std::string& method,
                   const std::string& path_and_query,
                   const std::string& body);
  /// Sends one GET to each of `servers` at the same time, and waits for all.
  std::vector<PageAnswer> FetchEach(const std::vector<world::Endpoint>& servers,
                                    const std::string& method,
                                    const std::string& path_and_query);
  /// Asks the admin addresses in turn until one serves the page as JSON.
  /// Throws CommandError when none does.
  PageAnswer FetchAny(const std::string& path_and_query);
  /// Waits for the pause between two tries.
  void Pause();

 private:
  net::EventLoop& loop_;
  const Options& options_;
  std::ostream& out_;
  std::ostream& err_;
};

}  // namespace ibisvalve::ctl
