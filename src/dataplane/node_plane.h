#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dataplane/fleet_view.h"
#include "dataplane/header_names.h"
#include "dataplane/quota_control.h"
#include "dataplane/target_registry.h"
#include "net/net.h"
#include "policy/policy.h"
#include "wire/wire.h"
#include "world/world.h"

namespace ibisvalve::dataplane {

/// This node's share of the retries that all nodes together may send to a
/// service.
struct RetryShare {
  double per_request = 1.0;  // retries per request that this node forwards
  double burst = 10;         // maximum number of unused retries kept
  double per_second = 0.1;   // in addition, for services with little traffic

  auto operator<=>(const RetryShare&) const = default;
};

/// Settings of a node's data plane.
struct PlaneSettings {
  NodeId id;
  Incarnation incarnation;
  world::Location location;
  world::Endpoint callers;                // HTTP for callers; port 0: any
  world::Endpoint mesh;                   // between nodes; port 0: any
  std::optional<world::Endpoint> target;  // the target of this node
  ServiceName service;                    // of the target
  uint32_t slots = 0;                     // of the target
  std::string health_path;                // empty: checks only connect
  uint64_t body_memory = 24 << 20;        // limit for buffered bodies, bytes
  uint32_t caller_connections = 2000;
  Duration link_silence = std::chrono::milliseconds(300);
  bool target_announces = false;  // not ready before POST /announce
  policy::ChoiceKind choice = policy::ChoiceKind::kWeighed;
  RetryShare retries;
  double link_mbps = 0;     // of this host's network link; 0: unknown
  Duration stop_linger{0};  // how long Stop still accepts new callers
  HeaderNames names;
};

/// Functions of the control plane that the data plane uses for requests with an
/// idempotency key.
struct ClaimPort {
  std::function<void(const wire::ClaimRequest& request,
                     Duration timeout,
                     std::function<void(const wire::ClaimReply&)> done)>
      claim;
  std::function<void(const wire::ClaimSettle& settle)> settle;
};

/// Result of one request of a caller, as counted by burn reports.
struct RequestRecord {
  ServiceName service;
  NodeId gate;  // whose target responded, or empty
  ZoneName gate_zone;
  world::Outcome outcome = world::Outcome::kNotRun;
  world::Reason reason = world::Reason::kNone;
  uint16_t status = 0;  // HTTP status sent to the caller
  Duration took{0};     // from the complete request to the complete response
  Duration deadline{0};
  uint32_t attempts = 0;  // hedges included
  bool hedged = false;
  bool hung_up = false;  // the caller disconnected before the response

  auto operator<=>(const RequestRecord&) const = default;
};

/// Events that the data plane reports to the rest of the node, and data that it
/// requests from there. All are called on the event loop.
struct PlaneHandlers {
  /// Called when a request of a caller has ended.
  std::function<void(const RequestRecord& record)> on_request;
  /// Called when the state or the slots of this node's target have changed.
  std::function<void(world::TargetState state, uint32_t slots)> on_target;
  /// Called when a peer has a higher revision than this node.
  std::function<void(Revision seen)> on_newer_revision;
  /// Called with the active configuration file of a peer, which may be newer
  /// than this node's.
  std::function<void(const wire::ActiveFile& file)> on_file;
  /// Returns the active configuration file of this node, for peers that request
  /// it.
  std::function<std::optional<wire::ActiveFile>()> present_file;
  /// Asks the keepers for tokens of workspaces' quotas.
  AskQuota ask_quota = nullptr;
};

/// The data plane of one node: an ingress that serves callers over HTTP, a gate
/// that forwards requests to the target, and the mesh links to other nodes.
/// Runs entirely on the event loop.
class NodePlane {
 public:
  /// Binds the listening sockets and starts. `view` must outlive the data
  /// plane. Throws SystemError.
  NodePlane(net::EventLoop& loop,
            const PlaneSettings& settings,
            const FleetView& view,
            ClaimPort claims,
            PlaneHandlers handlers);
  ~NodePlane();

  /// Handles an announcement of this node's target.
  void Announce(const TargetAnnouncement& announcement);
  /// Records that `runs` of this node's target have departed, as the fleet
  /// remembers.
  void RecordDepartures(const world::DepartedRuns& runs);
  /// Returns the run of this node's target that an announcement belongs to, or
  /// nothing if it names no start and its identity is unknown.
  std::optional<world::TargetRun> FindRun(
      const TargetAnnouncement& announcement) const;
  /// Returns the current run of this node's target if it departs and has
  /// announced its identity.
  std::optional<world::TargetRun> departing_run() const;
  /// Returns the current run of this node's target if it has announced its
  /// identity.
  std::optional<HeardRun> heard_run() const;
  /// Sets whether the gate must not run anything yet, as it is not known which
  /// runs of the target have departed. Peers see the target's state in any
  /// case.
  void SetTargetHeld(bool held);
  /// Handles a new or changed record of a member, which the view holds already.
  void ApplyMember(const world::Member& member);
  /// Requests the active configuration file of `peer`. PlaneHandlers::on_file
  /// receives it.
  void FetchFile(const NodeId& peer);
  /// Replaces the incarnation under which this node is known to its peers.
  void SetIncarnation(Incarnation incarnation);
  /// Applies the limits and probe settings of the configuration file that has
  /// become active.
  void ApplyFleet();
  /// Applies the evacuated zones of the view, which have changed.
  void ApplyZones();
  /// Stops accepting new requests for the target. Requests in flight continue.
  /// Undrain reverts this.
  void Drain();
  void Undrain();
  /// Shuts down for good: drains the target, closes each caller connection
  /// after its next response and stops accepting callers after
  /// PlaneSettings::stop_linger. Calls `done` once nothing is in flight, or
  /// after `limit`.
  void Stop(Duration limit, std::function<void()> done);
  /// Returns the crashes of targets that count against a request or a resource,
  /// to be remembered beyond the processes of all nodes.
  std::vector<world::CrashRecord> RepeatedCrashes() const;
  /// Returns the crashes that this node knows of requests for `resource`.
  world::CrashRecord FindCrashes(Digest resource) const;
  /// Adds crashes of targets that were remembered. Returns what this node knows
  /// to be cleared of them.
  std::vector<world::CrashRecord> LearnCrashes(
      const std::vector<world::CrashRecord>& records);
  /// Registers the handlers for operators (POST /drain, POST /undrain,
  /// GET /quarantine, POST /quarantine/lift) and for the target (POST
  /// /announce) at `admin`.
  void Serve(net::AdminServer& admin);
  /// Returns whether callers may be sent here: this node has learned from a
  /// peer which requests are quarantined, or has found no peer.
  bool ready() const;
  /// Return the endpoints that callers and peers connect to.
  world::Endpoint callers() const;
  world::Endpoint mesh() const;
  /// Returns the state of ingress and gate as a JSON object, for status pages.
  std::string StatusJson() const;
  /// Appends the data plane's metrics to `out`.
  void Collect(std::vector<MetricSample>& out) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ibisvalve::dataplane
