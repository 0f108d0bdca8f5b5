#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "control/keeper_links.h"
#include "control/replica_driver.h"
#include "net/net.h"

namespace ibisvalve::control {

/// Gets calls to whoever leads: this keeper or another, tried again after a
/// change of leader, until a deadline. The calls must be idempotent.
class LeaderRelay {
 public:
  struct Call {
    /// This keeper leads: handle it here, then Finish or Retry.
    std::function<void(uint64_t call)> local;
    /// Send it to the leader at this endpoint; the answer brings Finish.
    std::function<void(uint64_t call, const world::Endpoint& leader)> remote;
    /// The deadline has passed: nothing is known.
    std::function<void(uint64_t call)> unavailable;
  };

  LeaderRelay(net::EventLoop& loop,
              const ReplicaDriver& driver,
              const KeeperLinks& links);
  ~LeaderRelay() { *alive_ = false; }
  LeaderRelay(const LeaderRelay&) = delete;
  LeaderRelay& operator=(const LeaderRelay&) = delete;

  /// Starts a call and returns its number; never calls back before that.
  uint64_t Start(Call call);
  /// The call is answered. Returns whether it was still waiting for that.
  bool Finish(uint64_t call);
  /// The leader was none: tries again.
  void Retry(uint64_t call);
  /// Returns where the leader listens, if another keeper leads and a link to
  /// it stands.
  std::optional<world::Endpoint> Leader() const;

 private:
  struct Pending {
    Call call;
    Time deadline;
    bool tried = false;  // and no answer yet
    uint64_t link = 0;   // that it was sent on; 0: handled here
  };

  void Tend();
  void Try(uint64_t number);

  net::EventLoop& loop_;
  const ReplicaDriver& driver_;
  const KeeperLinks& links_;
  std::map<uint64_t, Pending> pending_;
  uint64_t next_call_;
  net::Timer tend_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ibisvalve::control
