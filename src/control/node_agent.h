#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/net.h"
#include "wire/wire.h"
#include "world/world.h"

namespace ibisvalve::control {

/// One accepted configuration file.
struct ConfigFile {
  Revision revision;
  Digest digest;
  std::string text;

  auto operator<=>(const ConfigFile&) const = default;
};

/// The part of control that runs in every node: follows the keepers, checks
/// staged files, and knows whether the node's revision is still confirmed.
class NodeAgent {
 public:
  struct Handlers {
    /// Checks a staged file; returns an empty string, or why this node cannot
    /// put it in force.
    std::function<std::string(const ConfigFile&)> check;
    /// The file is in force from now on.
    std::function<void(const ConfigFile&)> activate;
    /// The lease was gained (true) or has run out (false).
    std::function<void(bool held)> on_lease;
    /// Returns a short JSON object that `ibisctl status` shows for this node.
    std::function<std::string()> status;
  };

  /// Starts to follow `keepers`, the control endpoints of some keepers.
  NodeAgent(net::EventLoop& loop,
            const std::vector<world::Endpoint>& keepers,
            const world::Member& self,
            Handlers handlers);
  ~NodeAgent();

  /// Follows one of `keepers` from now on, the first ones rather; the present
  /// link goes on as long as it serves.
  void SetKeepers(const std::vector<world::Endpoint>& keepers);
  /// Returns the revision in force here; 0 before the first.
  Revision active() const;
  /// Returns whether a majority has confirmed that revision within the lease.
  /// Exact at any moment, also when the loop was held up and on_lease is late.
  bool lease_held() const;
  /// A frame of a higher revision was seen: asks the keepers at once.
  void CatchUp(Revision seen);
  /// Another node says that `file` is in force; taken if it is newer than what
  /// is in force here. Only files in force may be passed on.
  void Offer(const ConfigFile& file);
  /// Returns the file in force here, if any.
  const std::optional<ConfigFile>& present() const;
  /// Asks to claim a key; calls `done` once, after `timeout` at the latest
  /// (kUnavailable). After kUnavailable the holder may not run the request: the
  /// claim, if it was granted, is released.
  void Claim(const wire::ClaimRequest& request,
             Duration timeout,
             std::function<void(const wire::ClaimReply&)> done);
  /// Releases or records a claim; sent again until a keeper has taken it.
  void Settle(const wire::ClaimSettle& settle);
  /// Says goodbye, so that no apply waits for this node.
  void Leave(std::function<void()> done);
  /// Appends what /metrics shows of this part to `out`.
  void Collect(std::vector<MetricSample>& out) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ibisvalve::control
