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

/// Thrown to abort a command, with a message for the operator and the exit
/// code.
class CommandError : public std::runtime_error {
 public:
  CommandError(ExitCode code, const std::string& message)
      : std::runtime_error(message), code_(code) {}
  ExitCode code() const { return code_; }

 private:
  ExitCode code_;
};

/// Returns `word` if it is not empty and needs no escaping in a URL query, that
/// is, has only letters, digits, '-', '_', '.' and ':'. Throws CommandError
/// (kUsage) otherwise.
std::string CheckQueryWord(const std::string& word);

/// Response of a daemon to a request for an admin page.
struct PageAnswer {
  world::Endpoint from;
  int status = 0;  // HTTP status; 0 if there was no answer
  std::string body;
  std::string error;    // reason why there was no answer
  nlohmann::json json;  // parsed body; discarded if it is not JSON

  /// Returns whether the status is a success (2xx).
  bool ok() const { return status >= 200 && status < 300; }
  /// Returns the error message for the operator if the status is no success.
  std::string ErrorMessage() const;
};

/// Context of one run of a command: options, output streams and HTTP access to
/// the daemons.
class Session {
 public:
  /// Stores references to all arguments, which must outlive the session.
  Session(net::EventLoop& loop,
          const Options& options,
          std::ostream& out,
          std::ostream& err);

  const Options& options() const { return options_; }
  std::ostream& out() { return out_; }
  std::ostream& err() { return err_; }
  bool json() const { return options_.output == OutputFormat::kJson; }
  Time Now() const { return loop_.Now(); }

  /// Sends one request and waits for its answer, error or time-out.
  PageAnswer Fetch(const world::Endpoint& server,
                   const std::string& method,
                   const std::string& path_and_query,
                   const std::string& body);
  /// Sends one request to each of `servers` in parallel and waits for all.
  /// Returns the answers in the order of `servers`.
  std::vector<PageAnswer> FetchEach(const std::vector<world::Endpoint>& servers,
                                    const std::string& method,
                                    const std::string& path_and_query);
  /// Tries the admin addresses in turn until one serves the page as JSON.
  /// Throws CommandError if none does.
  PageAnswer FetchAny(const std::string& path_and_query);
  /// Waits for the delay between two attempts, Options::retry_delay.
  void WaitBeforeRetry();

 private:
  net::EventLoop& loop_;
  const Options& options_;
  std::ostream& out_;
  std::ostream& err_;
};

}  // namespace ibisvalve::ctl
