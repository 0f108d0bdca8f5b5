#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dataplane/fleet_view.h"
#include "dataplane/header_names.h"
#include "dataplane/target_registry.h"
#include "net/net.h"
#include "policy/policy.h"
#include "wire/wire.h"
#include "world/world.h"

namespace ibisvalve::dataplane {

/// This node's part of what all nodes together may send a service again.
struct RetryShare {
  double per_request = 1.0;  // of the requests that this node sends on
  double burst = 10;         // saved up at most
  double per_second = 0.1;   // besides, for quiet services

  auto operator<=>(const RetryShare&) const = default;
};

/// Settings of a node's data plane.
struct PlaneSettings {
  NodeId id;
  Incarnation incarnation;
  world::Location location;
  world::Endpoint callers;                // HTTP for callers; port 0 picks one
  world::Endpoint mesh;                   // TCP between nodes; port 0 picks one
  std::optional<world::Endpoint> target;  // the target beside this node
  ServiceName service;                    // of that target
  uint32_t slots = 0;                     // of that target
  std::string health_path;                // may be empty
  uint64_t body_memory = 24 << 20;        // bytes of bodies held at any time
  uint32_t caller_connections = 2000;
  Duration link_silence = std::chrono::milliseconds(300);
  bool target_announces = false;  // not ready until POST /announce
  policy::ChoiceKind choice = policy::ChoiceKind::kWeighed;
  RetryShare retries;
  double link_mbps = 0;     // of this host's network link; 0: not known
  Duration stop_linger{0};  // a planned stop takes callers on for so long
  HeaderNames names;
};

/// What the data plane needs of control for keyed requests.
struct ClaimPort {
  std::function<void(const wire::ClaimRequest& request,
                     Duration timeout,
                     std::function<void(const wire::ClaimReply&)> done)>
      claim;
  std::function<void(const wire::ClaimSettle& settle)> settle;
};

/// One request of a caller, ended; what burn reports count.
struct RequestRecord {
  ServiceName service;
  NodeId gate;  // that answered, or empty
  ZoneName gate_zone;
  world::Outcome outcome = world::Outcome::kNotRun;
  world::Reason reason = world::Reason::kNone;
  uint16_t status = 0;  // HTTP status that the caller saw
  Duration took{0};     // from the whole request to the end of the answer
  Duration deadline{0};
  uint32_t attempts = 0;  // hedges included
  bool hedged = false;
  bool hung_up = false;  // the caller left before the answer

  auto operator<=>(const RequestRecord&) const = default;
};

/// What the data plane reports to the rest of the node.
struct PlaneHandlers {
  /// A request of a caller has ended.
  std::function<void(const RequestRecord& record)> on_request;
  /// The target beside this node is in a new state.
  std::function<void(world::TargetState state, uint32_t slots)> on_target;
  /// A peer is at a higher revision than this node.
  std::function<void(Revision seen)> on_newer_revision;
  /// The file that is in force at a peer, which may be newer.
  std::function<void(const wire::PresentFile& file)> on_file;
  /// Returns the file that is in force here, for peers that lack it.
  std::function<std::optional<wire::PresentFile>()> present_file;
};

/// Ingress and gate of one node: HTTP from callers, mesh links, HTTP to the
/// target. All on the loop.
class NodePlane {
 public:
  /// Binds and starts. `view` must outlive it. Throws SystemError.
  NodePlane(net::EventLoop& loop,
            const PlaneSettings& settings,
            const FleetView& view,
            ClaimPort claims,
            PlaneHandlers handlers);
  ~NodePlane();

  /// The target says something of itself.
  void Announce(const TargetAnnouncement& announcement);
  /// Asks `peer` for the file that is in force there; it comes with on_file.
  void FetchFile(const NodeId& peer);
  /// Peers know this run of the node by another number from now on.
  void SetIncarnation(Incarnation incarnation);
  /// Another file has come into force.
  void FollowFleet();
  /// Takes no new work for the target; work in flight goes on. Undone by
  /// Undrain.
  void Drain();
  void Undrain();
  /// Stops for good: no new work, no new callers; `done` is called when
  /// everything in flight has ended, or `limit` has passed.
  void Stop(Duration limit, std::function<void()> done);
  /// Adds the operators' pages: POST /drain, /undrain, GET /quarantine,
  /// POST /quarantine/lift, and the target's POST /announce.
  void Serve(net::AdminServer& admin);
  /// Returns where callers and peers connect.
  world::Endpoint callers() const;
  world::Endpoint mesh() const;
  /// Returns the state of ingress and gate as a JSON object, for status pages.
  std::string StatusJson() const;
  /// Appends what /metrics shows of this part to `out`.
  void Collect(std::vector<MetricSample>& out) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ibisvalve::dataplane
