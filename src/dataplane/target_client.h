#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dataplane/target_connection.h"
#include "net/net.h"

namespace ibisvalve::dataplane {

class TargetClient;

/// A call that is under way. Destroying it cancels the call: the connection to
/// the target is closed.
class TargetCall {
 public:
  struct Handlers {
    std::function<void(const TargetHead& head)> on_head;
    std::function<void(std::string bytes)> on_data;
    std::function<void()> on_end;
    /// `why` is for logs.
    std::function<void(TargetFault fault, const std::string& why)> on_fault;
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

/// How a call may use the connections that are kept open.
enum class Reuse : uint8_t {
  kAny,       // one that the target has closed meanwhile costs another try
  kJustUsed,  // only one that served a call a moment ago
};

/// HTTP client of one target over a small pool of kept connections. Never
/// sends a request twice.
class TargetClient {
 public:
  /// Keeps connections to `target` open between calls. `id_header` names the
  /// header that answers repeat from requests; empty: none.
  TargetClient(net::EventLoop& loop,
               const world::Endpoint& target,
               const std::string& id_header = "");
  ~TargetClient();
  TargetClient(const TargetClient&) = delete;
  TargetClient& operator=(const TargetClient&) = delete;

  /// Sends `request`. Handlers run on the loop, never inside this call, until
  /// on_end or on_fault, and none once the call is destroyed.
  std::unique_ptr<TargetCall> Call(const TargetRequest& request,
                                   TargetCall::Handlers handlers,
                                   Reuse reuse = Reuse::kAny);
  /// The target was replaced: no kept connection is used any more.
  void DropIdle();
  /// Returns how many connections are in use and kept open.
  size_t in_use() const { return in_use_; }
  size_t idle() const { return idle_.size(); }
  /// Returns how many connections were opened so far.
  uint64_t opened() const { return opened_; }

 private:
  friend class TargetCall;
  using Connection = std::shared_ptr<TargetConnection>;

  Connection TakeConnection(Reuse reuse);
  void Finish(const std::shared_ptr<TargetCall::State>& state, bool reusable);
  void Forget(const TargetConnection* connection);
  void Dispose(Connection connection);
  void CloseIdle();

  net::EventLoop& loop_;
  world::Endpoint target_;
  std::string id_header_;
  size_t in_use_ = 0;
  uint64_t opened_ = 0;
  uint64_t epoch_ = 0;            // connections of earlier ones are not kept
  std::vector<Connection> idle_;  // the one used last at the end
  net::Timer idle_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ibisvalve::dataplane
