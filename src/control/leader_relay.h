#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "control/keeper_links.h"
#include "control/replica_driver.h"
#include "net/net.h"

namespace ibisvalve::control {

/// Delivers calls to the leader, which is this keeper or another one, and
/// retries them after a change of leader until a deadline of 3 s. The calls
/// must be idempotent.
class LeaderRelay {
 public:
  struct Call {
    /// Handles the call at this keeper, which leads, then calls Finish or
    /// Retry.
    std::function<void(uint64_t call)> local;
    /// Sends the call to the leader at this endpoint. Finish or Retry is called
    /// when the answer arrives.
    std::function<void(uint64_t call, const world::Endpoint& leader)> remote;
    /// Called when the deadline has passed. The outcome is unknown.
    std::function<void(uint64_t call)> unavailable;
  };

  LeaderRelay(net::EventLoop& loop,
              const ReplicaDriver& driver,
              const KeeperLinks& links);
  ~LeaderRelay() { *alive_ = false; }
  LeaderRelay(const LeaderRelay&) = delete;
  LeaderRelay& operator=(const LeaderRelay&) = delete;

  /// Starts a call and returns its number. No callback runs before it returns.
  uint64_t Start(Call call);
  /// Completes a call. Returns whether it was still pending.
  bool Finish(uint64_t call);
  /// Schedules the call to be sent again, as its recipient did not lead or
  /// could not complete it yet.
  void Retry(uint64_t call);
  /// Returns the control endpoint of the leader if another keeper leads and a
  /// link to it is up.
  std::optional<world::Endpoint> Leader() const;

 private:
  struct PendingCall {
    Call call;
    Time deadline;
    bool dispatched = false;  // awaits the answer
    uint64_t link = 0;        // number of the link used; 0: handled locally
  };

  void CheckPending();
  void Dispatch(uint64_t number);

  net::EventLoop& loop_;
  const ReplicaDriver& driver_;
  const KeeperLinks& links_;
  std::map<uint64_t, PendingCall> pending_;
  uint64_t next_call_;
  net::Timer check_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ibisvalve::control
