#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/net.h"
#include "wire/wire.h"

struct event;
struct evhttp_connection;
struct evhttp_request;

namespace ibisvalve::dataplane {

/// A caller's request, whole.
struct CallerRequest {
  std::string method;  // upper case
  std::string uri;     // path and query
  wire::Headers headers;
  std::string body;

  auto operator<=>(const CallerRequest&) const = default;
};

/// One request of a caller and the way back to it. Destroyed without an
/// answer, or with half of one, it breaks the connection.
class CallerExchange {
 public:
  /// Takes `request` over from evhttp; `on_over` is called once, when evhttp
  /// has no more to do with this object.
  CallerExchange(net::EventLoop& loop,
                 evhttp_request* request,
                 std::function<void(CallerExchange*)> on_over);
  ~CallerExchange();
  CallerExchange(const CallerExchange&) = delete;
  CallerExchange& operator=(const CallerExchange&) = delete;

  const CallerRequest& request() const { return request_; }
  /// Frees the bytes of the body, once nobody needs them.
  void DropBody();
  /// Calls `on_gone` once if the caller hangs up before the answer has ended.
  void SetOnGone(std::function<void()> on_gone);
  /// Sends a whole answer and ends.
  void Reply(int status, const wire::Headers& headers, std::string_view body);
  /// Starts an answer that comes in parts; chunked where `length` is absent.
  void Start(int status,
             const wire::Headers& headers,
             std::optional<uint64_t> length);
  /// Sends a part; `on_sent` is called when it has gone to the system.
  void Write(std::string_view bytes, std::function<void()> on_sent);
  /// Ends an answer in parts.
  void End();
  /// Breaks the connection, so that half an answer can't look whole.
  void Break();
  /// Returns whether the caller still waits.
  bool open() const { return evhttp_request_ != nullptr; }
  /// Breaks off where the connection was reset.
  void CheckForReset();

 private:
  void AddHeaders(const wire::Headers& headers);
  void Release();
  void OnConnectionClosed();
  void Gone();

  net::EventLoop& loop_;
  evhttp_request* evhttp_request_;  // null once answered or gone
  evhttp_connection* connection_;
  std::function<void(CallerExchange*)> on_over_;
  std::function<void()> on_gone_;
  std::function<void()> on_sent_;
  event* closed_event_ = nullptr;
  CallerRequest request_;
};

}  // namespace ibisvalve::dataplane
