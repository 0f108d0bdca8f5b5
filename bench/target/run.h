#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "bench/common/byte_stream.h"
#include "net/net.h"

struct event;
struct evhttp_connection;
struct evhttp_request;

namespace ibisvalve::bench {

/// What a request asks a fake target for.
struct RequestFacts {
  std::string method;
  std::string path;  // without the query
  std::string query;
  std::string name;  // X-Request-Name
  std::string run;   // Ibis-Run-Id, or the path
  std::string key;   // Idempotency-Key
};

/// One request at a fake target, from its arrival to the end of its answer.
class Run {
 public:
  /// Told once when the run is over; `status` is for the run log.
  using Ended = std::function<void(Run* run, const std::string& status)>;

  /// Watches the connection of `request` for a caller that hangs up.
  Run(net::EventLoop& loop, evhttp_request* request, Ended on_ended);
  ~Run();
  Run(const Run&) = delete;
  Run& operator=(const Run&) = delete;

  /// Answers after `service_time`, in the name of the target `target`.
  void Start(Duration service_time, const std::string& target);
  /// Answers 500 at once.
  void Refuse();
  /// Returns what was asked.
  const RequestFacts& facts() const { return facts_; }
  /// Returns whether Start was called.
  bool started() const { return started_; }

 private:
  void Answer();
  void AnswerText();
  void StartBytes();
  void SendBytes();
  void OnHangUp();
  void End(const std::string& status);

  net::EventLoop& loop_;
  evhttp_request* request_;  // null once the connection has gone
  evhttp_connection* connection_;
  Ended on_ended_;
  RequestFacts facts_;
  std::string target_;
  event* hang_up_ = nullptr;
  net::Timer timer_;
  bool started_ = false;
  // Of a streamed answer.
  std::unique_ptr<ByteStream> bytes_;
  uint64_t bytes_left_ = 0;
  uint64_t bytes_until_cut_ = 0;
};

}  // namespace ibisvalve::bench
