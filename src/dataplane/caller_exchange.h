#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/net.h"
#include "wire/wire.h"

struct evbuffer;

namespace ibisvalve::dataplane {

class CallerConnection;

/// Place of one answer among those of its connection.
struct AnswerSlot {
  AnswerSlot();
  ~AnswerSlot();
  AnswerSlot(const AnswerSlot&) = delete;
  AnswerSlot& operator=(const AnswerSlot&) = delete;

  class CallerExchange* exchange = nullptr;  // null once the answer has ended
  evbuffer* held;      // bytes that wait for earlier answers
  bool front = false;  // all earlier answers have ended
  bool ended = false;
  bool close = false;  // the connection ends with this answer
};

/// A caller's request, whole.
struct CallerRequest {
  std::string method;  // as sent
  std::string uri;     // path and query
  wire::Headers headers;
  std::string body;

  auto operator<=>(const CallerRequest&) const = default;
};

/// One request of a caller and the way back to it. Destroyed without an
/// answer, or with half of one, it breaks the connection. Answers to requests
/// that came on one connection leave in the order of the requests.
class CallerExchange {
 public:
  /// For the connection that `request` came on, which sends what goes to
  /// `slot`.
  CallerExchange(CallerConnection& connection,
                 CallerRequest request,
                 std::shared_ptr<AnswerSlot> slot);
  ~CallerExchange();
  CallerExchange(const CallerExchange&) = delete;
  CallerExchange& operator=(const CallerExchange&) = delete;

  const CallerRequest& request() const { return request_; }
  /// Frees the bytes of the body, once nobody needs them.
  void DropBody();
  /// Calls `on_gone` once, from the loop, if the caller hangs up before the
  /// answer has ended.
  void SetOnGone(std::function<void()> on_gone);
  /// Sends a whole answer and ends. `close` ends the connection after it.
  void Reply(int status,
             const wire::Headers& headers,
             std::string_view body,
             bool close = false);
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
  bool open() const { return connection_ != nullptr; }

 private:
  friend class CallerConnection;

  void Put(std::string_view bytes);
  void Finish();

  CallerConnection* connection_;  // null once answered or gone
  CallerRequest request_;
  std::shared_ptr<AnswerSlot> slot_;
  std::function<void()> on_gone_;
  std::function<void()> on_sent_;
  bool chunked_ = false;
};

}  // namespace ibisvalve::dataplane
