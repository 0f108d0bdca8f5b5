#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "net/net.h"
#include "wire/wire.h"

struct evhttp_connection;

namespace ibisvalve::dataplane {

/// One request to the target beside this node.
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
  std::optional<uint64_t> length;  // absent: chunked

  auto operator<=>(const TargetHead&) const = default;
};

/// How a call ended without a whole answer.
enum class TargetFault : uint8_t {
  kNotReached,  // proof that the target never saw the request
  kBroke,       // the target may have seen it
};

class TargetClient;

/// A call that is under way. Destroying it cancels the call: the connection to
/// the target is closed.
class TargetCall {
 public:
  struct Handlers {
    std::function<void(const TargetHead& head)> on_head;
    std::function<void(std::string bytes)> on_data;
    std::function<void()> on_end;
    std::function<void(TargetFault fault)> on_fault;
  };
  struct State;

  explicit TargetCall(std::shared_ptr<State> state);
  ~TargetCall();
  TargetCall(const TargetCall&) = delete;
  TargetCall& operator=(const TargetCall&) = delete;

  /// Stops or resumes reading the answer, so that the target is slowed down.
  void SetReading(bool reading);

 private:
  std::shared_ptr<State> state_;
};

/// HTTP client of one target over a small pool of kept connections. Never
/// sends a request twice.
class TargetClient {
 public:
  /// Keeps connections to `target` open between calls.
  TargetClient(net::EventLoop& loop, const world::Endpoint& target);
  ~TargetClient();
  TargetClient(const TargetClient&) = delete;
  TargetClient& operator=(const TargetClient&) = delete;

  /// Sends `request`. Handlers run on the loop, never inside this call, until
  /// on_end or on_fault, and none once the call is destroyed.
  std::unique_ptr<TargetCall> Call(const TargetRequest& request,
                                   TargetCall::Handlers handlers);
  /// Returns how many connections are in use and kept open.
  size_t in_use() const { return active_.size(); }
  size_t idle() const { return idle_.size(); }

 private:
  friend class TargetCall;
  friend struct TargetCall::State;
  struct Idle {
    evhttp_connection* connection;
    Time since;
  };

  evhttp_connection* TakeConnection();
  void Finish(const std::shared_ptr<TargetCall::State>& state, bool reusable);
  void CloseIdle();

  net::EventLoop& loop_;
  world::Endpoint target_;
  std::set<std::shared_ptr<TargetCall::State>> active_;
  std::vector<Idle> idle_;  // the one used last at the end
  net::Timer idle_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ibisvalve::dataplane
