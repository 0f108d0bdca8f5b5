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

/// The fields of a request that determine the response of a fake target.
struct RequestFields {
  std::string method;
  std::string path;  // without the query
  std::string query;
  std::string name;  // header X-Request-Name
  std::string run;   // header Ibis-Run-Id, or the path if absent
  std::string key;   // header Idempotency-Key
};

/// One request at a fake target, from its arrival to the end of its response.
class Run {
 public:
  /// Called once when the run has ended; `status` is for the run log.
  using Ended = std::function<void(Run* run, const std::string& status)>;

  /// Starts watching the connection of `request` for a disconnect of the
  /// caller.
  Run(net::EventLoop& loop, evhttp_request* request, Ended on_ended);
  ~Run();
  Run(const Run&) = delete;
  Run& operator=(const Run&) = delete;

  /// Sends the response after `service_time`, with `target` as the target name.
  void Start(Duration service_time, const std::string& target);
  /// Responds with status 500 immediately.
  void Refuse();
  /// Returns the fields of the request.
  const RequestFields& fields() const { return fields_; }
  /// Returns whether Start was called.
  bool started() const { return started_; }

 private:
  void Respond();
  void RespondWithJson();
  void StartBytes();
  void SendBytes();
  void OnDisconnect();
  void End(const std::string& status);

  net::EventLoop& loop_;
  evhttp_request* request_;  // null once the connection is closed
  evhttp_connection* connection_;
  Ended on_ended_;
  RequestFields fields_;
  std::string target_;
  event* disconnect_event_ = nullptr;
  net::Timer timer_;
  bool started_ = false;
  // State of a streamed response.
  std::unique_ptr<ByteStream> bytes_;
  uint64_t bytes_left_ = 0;
  uint64_t bytes_until_cut_ = 0;
};

}  // namespace ibisvalve::bench
