#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "net/net.h"
#include "wire/wire.h"

struct bufferevent;

namespace ibisvalve::dataplane {

/// One request to a target.
struct TargetRequest {
  std::string method;
  std::string uri;
  wire::Headers headers;
  std::string body;

  auto operator<=>(const TargetRequest&) const = default;
};

/// Status line and headers of a target's response.
struct TargetHead {
  uint16_t status = 0;
  wire::Headers headers;           // as the target sent them
  std::optional<uint64_t> length;  // absent: chunked or until close

  auto operator<=>(const TargetHead&) const = default;
};

/// Why a call ended without a complete response.
enum class TargetFault : uint8_t {
  kNotReached,      // the target provably did not receive the request
  kConnectionLost,  // the target may have received the request
};

/// One connection to a target, with at most one call at a time. Unsolicited
/// bytes and responses to earlier calls are never mistaken for the response to
/// the current call.
class TargetConnection {
 public:
  struct Handlers {
    std::function<void(const TargetHead& head)> on_head;
    std::function<void(std::string bytes)> on_data;
    /// Called when the response is complete; `reusable` is true if another call
    /// may follow on this connection.
    std::function<void(bool reusable)> on_end;
    /// Called when the call failed; `why` is the cause, for logs.
    std::function<void(TargetFault fault, const std::string& why)> on_fault;
    /// Called when the target closed the connection, or sent bytes on it, while
    /// no call was in progress.
    std::function<void()> on_idle_closed;
  };

  /// Starts to connect. `id_header` names the request-id header, which the
  /// target repeats in its responses; empty: none. The handlers run on the
  /// event loop, never within a method of this class.
  TargetConnection(net::EventLoop& loop,
                   const world::Endpoint& target,
                   std::string id_header);
  ~TargetConnection();
  TargetConnection(const TargetConnection&) = delete;
  TargetConnection& operator=(const TargetConnection&) = delete;

  /// Returns whether an earlier request with this id failed on this connection.
  /// Its response may come once more, and could not be told from that to a new
  /// request with the same id.
  bool HasFailed(const std::string& id) const;
  /// Sends `request`. The previous call must have ended.
  void StartCall(const TargetRequest& request, Handlers handlers);
  /// Pauses or resumes reading the response, to apply back pressure to the
  /// target.
  void SetReading(bool reading);
  /// Returns the time at which the connection was opened.
  Time opened_at() const { return opened_at_; }
  /// Returns the time at which the last response ended.
  Time idle_since() const { return idle_since_; }

 private:
  void OnReadable();
  bool ProcessInput();
  void OnEvent(int16_t what);
  void HandleHead();
  void SkipInput(size_t bytes);
  bool BelongsToCall(const net::HttpHead& head) const;
  void HandleEnd();
  void CompleteCall();
  void FailCall(TargetFault fault, const std::string& why);

  net::EventLoop& loop_;
  std::string id_header_;
  bufferevent* bufferevent_;
  net::HttpReader reader_;
  Handlers handlers_;
  std::string method_;  // of the current call
  std::string id_;      // request id of the current call; empty: none
  uint64_t calls_ = 0;
  std::deque<std::string> failed_ids_;  // the latest ones
  bool in_call_ = false;
  bool head_delivered_ = false;
  // An interim response (1xx) or the response to an earlier call is being
  // skipped.
  bool skipping_response_ = false;
  size_t skipped_bytes_ = 0;  // received before the response to the call
  bool connected_ = false;
  bool not_reusable_ = false;  // the connection must not be reused
  Time opened_at_{};
  Time idle_since_{};
  net::Timer connect_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ibisvalve::dataplane
