#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
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

/// Client of the keepers that runs in every node: follows one keeper, checks
/// staged files and tracks whether the node's active revision is still
/// confirmed.
class NodeAgent {
 public:
  struct Handlers {
    /// Checks a staged file. Returns an empty string, or the reason why this
    /// node cannot activate it.
    std::function<std::string(const ConfigFile&)> check;
    /// Activates the file.
    std::function<void(const ConfigFile&)> activate;
    /// Called when the lease is gained (true) or lost (false).
    std::function<void(bool held)> on_lease;
    /// Returns a short JSON object that `ibisctl status` shows for this node.
    std::function<std::string()> status;
    /// Called with the crashes of targets that the keepers remember, when a
    /// keeper is followed and when they have changed. May be null.
    std::function<void(const std::vector<world::CrashRecord>&)> on_crashes = {};
    /// Called with the evacuated zones when they have changed. May be null.
    std::function<void(const std::set<ZoneName>&)> on_zones = {};
    /// Called with each lease grant: the departed runs of this node's target
    /// that the keepers remember, as a majority has confirmed. May be null.
    std::function<void(const world::DepartedRuns&)> on_departures = {};
  };

  /// Starts to follow one of `keepers`, given by their control endpoints.
  NodeAgent(net::EventLoop& loop,
            const std::vector<world::Endpoint>& keepers,
            const world::Member& self,
            Handlers handlers);
  ~NodeAgent();

  /// Sets the keepers to choose from, in order of preference. The present link
  /// is kept until it fails.
  void SetKeepers(const std::vector<world::Endpoint>& keepers);
  /// Returns the active revision of this node; 0 before the first.
  Revision active() const;
  /// Returns whether a quorum has confirmed that revision within the lease.
  /// Exact at any time, also when the event loop is delayed and on_lease is
  /// late.
  bool lease_held() const;
  /// Sends a heartbeat at once if `seen` is higher than the active revision.
  /// Called when a frame of revision `seen` was received.
  void RequestRevision(Revision seen);
  /// Activates `offered`, which another node reports as active, if it passes
  /// the checks and is newer than the active file of this node.
  void OfferActiveFile(const wire::ActiveFile& offered);
  /// Returns the active file in the form in which it is offered to other nodes,
  /// if there is one.
  std::optional<wire::ActiveFile> EncodeActiveFile();
  /// Returns the active file of this node, if any.
  const std::optional<ConfigFile>& active_file() const;
  /// Requests a claim of a key. Calls `done` once, with kUnavailable if no
  /// reply arrives within `timeout`. After kUnavailable the holder must not run
  /// the request, because a claim that was granted all the same is released.
  void Claim(const wire::ClaimRequest& request,
             Duration timeout,
             std::function<void(const wire::ClaimReply&)> done);
  /// Releases a claim or records its result. Resent until a keeper acknowledges
  /// it.
  void Settle(const wire::ClaimSettle& settle);
  /// Asks the keepers to remember that `run` of this node's target has
  /// departed. Calls `done(true)` once a majority has stored it, or
  /// `done(false)` after 800 ms.
  void RecordDeparture(const world::TargetRun& run,
                       std::function<void(bool stored)> done);
  /// Asks the keepers to remember these crashes of targets. Dropped if no
  /// keeper is connected, so it must be repeated.
  void ReportCrashes(const std::vector<world::CrashRecord>& records);
  /// Asks a keeper for tokens of workspaces' quotas. `done` is called with the
  /// answer of a leader, or never.
  void AskQuota(
      const std::vector<wire::QuotaDemand>& demands,
      std::function<void(const std::vector<wire::QuotaTokens>&)> done);
  /// Ends the lease and signs off from the keepers, so that no activation waits
  /// for this node. Calls `done` after the acknowledgement or after 1 s.
  void Leave(std::function<void()> done);
  /// Appends the metrics of this agent to `out`.
  void Collect(std::vector<MetricSample>& out) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ibisvalve::control
