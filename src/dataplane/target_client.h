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

/// A call in progress. Destroying it cancels the call by closing the connection
/// to the target.
class TargetCall {
 public:
  struct Handlers {
    std::function<void(const TargetHead& head)> on_head;
    std::function<void(std::string bytes)> on_data;
    std::function<void()> on_end;
    /// Called when the call failed; `why` is the cause, for logs.
    std::function<void(TargetFault fault, const std::string& why)> on_fault;
  };
  struct State;

  explicit TargetCall(std::shared_ptr<State> state);
  ~TargetCall();
  TargetCall(const TargetCall&) = delete;
  TargetCall& operator=(const TargetCall&) = delete;

  /// Pauses or resumes reading the response, to apply back pressure to the
  /// target.
  void SetReading(bool reading);
  /// Returns the time at which the connection of the call was opened.
  Time connection_opened_at() const;

 private:
  std::shared_ptr<State> state_;
};

/// Which idle connections a call may reuse.
enum class Reuse : uint8_t {
  kAny,           // any; one that the target has closed costs another attempt
  kRecentlyUsed,  // only one that served another call just before
};

/// HTTP client for one target with a small pool of idle connections. Never
/// sends a request twice.
class TargetClient {
 public:
  /// Creates a client for `target` without connections. `id_header` names the
  /// request-id header, which the target repeats in its responses; empty: none.
  TargetClient(net::EventLoop& loop,
               const world::Endpoint& target,
               const std::string& id_header = "");
  ~TargetClient();
  TargetClient(const TargetClient&) = delete;
  TargetClient& operator=(const TargetClient&) = delete;

  /// Sends `request`. The handlers run on the event loop, never within this
  /// method; none runs after on_end or on_fault, or once the call is destroyed.
  std::unique_ptr<TargetCall> Call(const TargetRequest& request,
                                   TargetCall::Handlers handlers,
                                   Reuse reuse = Reuse::kAny);
  /// Closes all idle connections, because the target was replaced. Those in use
  /// are closed when their calls end.
  void CloseIdleConnections();
  /// Returns the number of connections that calls are using.
  size_t in_use() const { return in_use_; }
  /// Returns the number of idle connections.
  size_t idle() const { return idle_.size(); }
  /// Returns the number of connections opened so far.
  uint64_t opened() const { return opened_; }

 private:
  friend class TargetCall;
  using Connection = std::shared_ptr<TargetConnection>;

  Connection TakeConnection(const TargetRequest& request, Reuse reuse);
  void Finish(const std::shared_ptr<TargetCall::State>& state, bool reusable);
  void RemoveIdle(const TargetConnection* connection);
  void CloseLater(Connection connection);
  void CloseExpired();

  net::EventLoop& loop_;
  world::Endpoint target_;
  std::string id_header_;
  size_t in_use_ = 0;
  uint64_t opened_ = 0;
  // Incremented when the target is replaced. Connections of earlier epochs are
  // not reused.
  uint64_t epoch_ = 0;
  std::vector<Connection> idle_;  // the most recently used one is the last
  net::Timer idle_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ibisvalve::dataplane
