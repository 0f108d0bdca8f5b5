#pragma once

#include <cstdint>
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

/// Start of the target's answer.
struct TargetHead {
  uint16_t status = 0;
  wire::Headers headers;           // as the target sent them
  std::optional<uint64_t> length;  // absent: chunked or until it closes

  auto operator<=>(const TargetHead&) const = default;
};

/// How a call ended without a whole answer.
enum class TargetFault : uint8_t {
  kNotReached,  // proof that the target never saw the request
  kBroke,       // the target may have seen it
};

/// One connection to a target, with at most one call at a time. Bytes that
/// belong to no answer, or to that of an earlier call, are never taken for the
/// answer of the present one.
class TargetConnection {
 public:
  struct Handlers {
    std::function<void(const TargetHead& head)> on_head;
    std::function<void(std::string bytes)> on_data;
    /// The answer is whole; `reusable` says that another call may follow.
    std::function<void(bool reusable)> on_end;
    /// `why` is for logs.
    std::function<void(TargetFault fault, const std::string& why)> on_fault;
    /// The target closed the connection, or spoke, while no call was under way.
    std::function<void()> on_idle_closed;
  };

  /// Starts to connect. `id_header` names the header that answers repeat from
  /// requests; empty: none. Handlers run on the loop, never inside a method.
  TargetConnection(net::EventLoop& loop,
                   const world::Endpoint& target,
                   std::string id_header);
  ~TargetConnection();
  TargetConnection(const TargetConnection&) = delete;
  TargetConnection& operator=(const TargetConnection&) = delete;

  /// Sends `request`; the last call must be over.
  void Begin(const TargetRequest& request, Handlers handlers);
  /// Stops or resumes reading the answer, so that the target is slowed down.
  void SetReading(bool reading);
  /// Returns when the last answer ended.
  Time idle_since() const { return idle_since_; }

 private:
  void OnReadable();
  bool ReadSome();
  void OnEvent(int16_t what);
  void TakeHead();
  bool BelongsToCall(const net::HttpHead& head) const;
  void TakeEnd();
  void End();
  void Fail(TargetFault fault, const std::string& why);

  net::EventLoop& loop_;
  std::string id_header_;
  bufferevent* bufferevent_;
  net::HttpReader reader_;
  Handlers handlers_;
  std::string method_;  // of the call
  std::string id_;      // that its answer must repeat
  bool in_call_ = false;
  bool head_told_ = false;
  bool skipping_ = false;  // an answer that belongs to an earlier call
  bool connected_ = false;
  bool spoiled_ = false;  // no other call may follow
  Time idle_since_{};
  net::Timer connect_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ibisvalve::dataplane
