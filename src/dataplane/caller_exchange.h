#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "dataplane/memory_budget.h"
#include "net/net.h"
#include "wire/wire.h"

struct evbuffer;

namespace ibisvalve::dataplane {

class CallerConnection;

/// Position of one response in the pipeline of its connection.
struct ResponseSlot {
  ResponseSlot();
  ~ResponseSlot();
  ResponseSlot(const ResponseSlot&) = delete;
  ResponseSlot& operator=(const ResponseSlot&) = delete;

  class CallerExchange* exchange = nullptr;  // null once complete
  evbuffer* buffered;     // output that waits for earlier responses
  bool at_front = false;  // all earlier responses are complete
  bool complete = false;  // the response is complete
  bool close = false;     // the connection closes after this response
};

/// A complete request of a caller.
struct CallerRequest {
  std::string method;  // as sent
  std::string uri;     // path and query
  wire::Headers headers;
  std::string body;

  auto operator<=>(const CallerRequest&) const = default;
};

/// One request of a caller together with the means to respond to it. The
/// destructor closes the connection if the response is missing or incomplete.
/// The responses to pipelined requests are sent in the order of the requests.
class CallerExchange {
 public:
  /// Creates the exchange for a `request` received on `connection`, whose
  /// response is sent through `slot`.
  /// `memory` is what is reserved for the body.
  CallerExchange(CallerConnection& connection,
                 CallerRequest request,
                 std::shared_ptr<ResponseSlot> slot,
                 MemoryReservation memory);
  ~CallerExchange();
  CallerExchange(const CallerExchange&) = delete;
  CallerExchange& operator=(const CallerExchange&) = delete;

  const CallerRequest& request() const { return request_; }
  /// Sets a function that is called once, from the event loop, if the caller
  /// disconnects before the response is complete.
  void SetOnDisconnect(std::function<void()> on_disconnect);
  /// Sends a complete response. If `close` is set, the connection is closed
  /// after it.
  void Reply(int status,
             const wire::Headers& headers,
             std::string_view body,
             bool close = false);
  /// Starts a streamed response. It is chunked if `length` is absent.
  void Start(int status,
             const wire::Headers& headers,
             std::optional<uint64_t> length);
  /// Sends a part of a streamed response. `on_sent` is called once the
  /// connection's output buffer is empty; a later Write replaces it.
  void Write(std::string_view bytes, std::function<void()> on_sent);
  /// Completes a streamed response.
  void End();
  /// Takes back a started response of which nothing has been sent, because
  /// responses to earlier requests come first. Returns false if a part may have
  /// been sent; otherwise another response may follow.
  bool Retract();
  /// Closes the connection, so that the caller cannot mistake a truncated
  /// response for a complete one.
  void Abort();
  /// Returns whether the caller is still waiting for the response.
  bool open() const { return connection_ != nullptr; }

 private:
  friend class CallerConnection;

  void Append(std::string_view bytes);
  void Finish();

  CallerConnection* connection_;  // null once complete or disconnected
  CallerRequest request_;
  std::shared_ptr<ResponseSlot> slot_;
  MemoryReservation memory_;
  std::function<void()> on_disconnect_;
  std::function<void()> on_sent_;
  bool chunked_ = false;
};

}  // namespace ibisvalve::dataplane
