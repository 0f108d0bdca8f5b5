#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/base.h"
#include "config/config.h"
#include "control/control.h"
#include "dataplane/dataplane.h"
#include "membership/membership.h"
#include "net/net.h"
#include "node/crash_reports.h"
#include "observe/observe.h"

namespace ibisvalve::node {

/// Platform-specific header names and configuration parsing in a node.
struct NodeOptions {
  dataplane::HeaderNames names;
  /// Parses a fleet configuration file. Error messages refer to it as `name`.
  /// Throws InvalidInput.
  std::function<world::Fleet(const std::string& text, const std::string& name)>
      parse = config::ParseFleet;
};

/// A process in the node role: runs membership, the control agent and the data
/// plane of one host on one event loop.
class NodeProcess {
 public:
  /// Binds every address in `settings` and starts. Throws SystemError.
  NodeProcess(net::EventLoop& loop,
              const config::Settings& settings,
              NodeOptions options = {});
  ~NodeProcess();
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  /// Starts a planned stop: announces the target as draining, waits for the
  /// requests in flight up to the drain limit, leaves the membership group and
  /// the keeper, then calls `done`. A second call has no effect.
  void Stop(std::function<void()> done);
  /// Applies a changed settings file. Only the keepers and the gossip seeds
  /// take effect.
  void Reload(const config::Settings& settings);
  /// Processes an announcement that the local target sent about itself. It
  /// takes effect once another member has answered this node, or 500 ms after
  /// the start. The target is used once the keepers have told which of its runs
  /// have departed, or 2 s after the start, or 500 ms if no other member has
  /// answered by then. Calls `done(true)` when it may be acknowledged: a
  /// departure once a majority of the keepers has stored its run and other
  /// members remember it, any other at once. Calls `done(false)` if they cannot
  /// be reached, or if the departure names no start and its run is unknown; the
  /// target must announce it again.
  void Announce(const dataplane::TargetAnnouncement& announcement,
                std::function<void(bool recorded)> done);
  /// Returns whether this node has an active configuration, knows the requests
  /// that are quarantined and is not stopping.
  bool ready() const;

 private:
  struct WaitingAnnouncement {
    dataplane::TargetAnnouncement announcement;
    std::function<void(bool)> done;
  };

  bool MayTrustAnnouncements() const;
  void CheckTargetHold();
  void LearnDepartures(const world::DepartedRuns& runs);
  void RecordDeparture(const world::TargetRun& run,
                       std::function<void(bool)> done);
  void PublishHostedRun();
  void ApplyAnnouncement(const dataplane::TargetAnnouncement& announcement,
                         std::function<void(bool)> done);
  void ApplyWaitingAnnouncements();
  world::Member MakeSelf() const;
  dataplane::ClaimPort MakeClaimPort();
  dataplane::PlaneHandlers MakePlaneHandlers();
  control::NodeAgent::Handlers MakeAgentHandlers();
  std::string CheckFile(const control::ConfigFile& file);
  void Activate(const control::ConfigFile& file);
  void OnLease(bool held);
  void OnMember(const world::Member& member);
  void UpdateKeepers();
  void FetchFileFromPeer();
  void ReportCrashes();
  void OnTarget(world::TargetState state, uint32_t slots);
  void ServePages();
  std::string StatusJson() const;

  net::EventLoop& loop_;
  const config::Settings settings_;
  const NodeOptions options_;
  Incarnation incarnation_;
  std::vector<world::Endpoint> configured_keepers_;  // from the latest settings
  bool stopping_ = false;
  uint64_t active_since_us_ = 0;  // wall clock, for display
  // The file that was checked last and is not active yet, parsed.
  std::shared_ptr<const world::Fleet> checked_fleet_;
  Digest checked_digest_;
  world::TargetState target_state_ = world::TargetState::kNone;
  dataplane::FleetView view_;
  observe::BurnMeter burn_;
  net::AdminServer admin_;
  std::unique_ptr<dataplane::NodePlane> plane_;
  std::unique_ptr<membership::MembershipService> membership_;
  std::unique_ptr<control::NodeAgent> agent_;
  net::Timer peer_fetch_timer_;
  size_t peer_fetches_ = 0;
  CrashReports crash_reports_;
  Time crashes_repeated_at_{};
  net::Timer crash_report_timer_;
  // Announcements that arrived before this node had joined the fleet.
  std::vector<WaitingAnnouncement> waiting_announcements_;
  const Time started_;
  bool knows_departures_ = false;
  net::Timer join_timer_;
  net::Timer hold_timer_;
};

}  // namespace ibisvalve::node
