#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dataplane/fleet_view.h"
#include "dataplane/node_plane.h"
#include "net/net.h"
#include "policy/policy.h"
#include "wire/wire.h"

namespace ibisvalve::dataplane {

/// One run of the process of a gate.
struct GateRun {
  NodeId gate;
  Incarnation incarnation;

  auto operator<=>(const GateRun&) const = default;
};

/// Tracks the requests that were in flight at crashes of targets, as far as
/// this node knows, and quarantines those that were in flight at repeated ones.
/// Shared by the ingress and the gate of the node. Runs on the event loop.
class CrashTracker {
 public:
  using SendNotice = std::function<void(const ServiceName& service,
                                        const wire::CrashNotice& notice)>;

  /// Creates a tracker without suspects. `send_notice` sends a notice to the
  /// other gates of a service.
  CrashTracker(net::EventLoop& loop,
               const PlaneSettings& settings,
               const FleetView& view,
               SendNotice send_notice);

  /// Records that the local target broke the connection, which was opened at
  /// `connection_opened` if that is known, while it ran `request`. Notifies the
  /// other gates first, so that the notice precedes any retry that the ingress
  /// sends to one of them.
  void OnCrashDuringRun(const world::RequestIdentity& request,
                        std::optional<Time> connection_opened);
  /// Records that a gate of `service` has ended while it had the request.
  /// `gate_run` names the gate and its incarnation; all reports of its end
  /// count as one crash, unless the target turns out to have outlived the gate
  /// (OnMember). A request that has just been answered elsewhere is not
  /// suspected.
  void OnGateEnded(const GateRun& gate_run,
                   const ServiceName& service,
                   const world::RequestIdentity& request);
  /// Handles an announcement of the local target's current run. Once the run
  /// has announced itself repeatedly since a crash that this node reported, it
  /// has not ended then, and the other gates are told so.
  void OnTargetHeard();
  /// Handles that another run of the local target has replaced the current one.
  void OnTargetReplaced() { announced_since_.clear(); }
  /// Handles a new or changed record of a member. Clears all requests of the
  /// ends of its gate that its target has outlived.
  void OnMember(const world::Member& member);
  /// Records that the local target has answered the request completely, and
  /// tells the other gates if that clears it. An error of the target (5xx) does
  /// not, as a run that failed may have done so because of a crash.
  void OnResponse(const world::RequestIdentity& request, uint16_t status);
  /// Records that the target of another node has answered a request of this
  /// node's ingress completely.
  void OnRemoteResponse(const world::RequestIdentity& request, uint16_t status);
  /// Adds what another node knows of a resource.
  void Learn(const world::CrashRecord& record);
  /// Adds what another node knows of several resources.
  void OnNotice(const wire::CrashNotice& notice);
  /// Returns the crashes at which requests for `resource` were in flight.
  world::CrashRecord Find(Digest resource) const;
  /// Returns whether the request must be refused.
  bool IsQuarantined(const world::RequestIdentity& request) const;
  /// Lifts the quarantine of a request or resource; returns false if it has
  /// none.
  bool Lift(Digest fingerprint);
  /// Returns the quarantined requests and resources, for the operators' page.
  std::vector<policy::QuarantineEntry> List() const;

  /// Returns the number of suspects, without the quarantined requests.
  size_t CountSuspects() const;
  /// Returns the digest of the records that nodes exchange regularly.
  Digest SyncDigest() const;
  /// Returns these records.
  wire::CrashNotice SyncRecords() const;
  /// Returns the records of this node that clear a request or a resource of a
  /// crash which counts against it in `told`, as another process knows it.
  std::vector<world::CrashRecord> Corrections(
      const std::vector<world::CrashRecord>& told) const;
  /// Returns the reply to a peer that compares its records with this node's.
  wire::CrashSyncReply ReplyTo(const wire::CrashSync& sync) const;
  /// Adds the records of a peer, and returns those that the peer lacks.
  wire::CrashNotice OnSyncReply(const wire::CrashSyncReply& reply);

 private:
  bool Clear(const world::RequestIdentity& request, uint16_t status);
  std::vector<Digest> Refute(
      const std::function<bool(const world::CrashId&)>& refutes);
  void RefuteOutlivedGates(const world::CrashRecord& record);

  net::EventLoop& loop_;
  const PlaneSettings& settings_;
  const FleetView& view_;
  SendNotice send_notice_;
  policy::Quarantine quarantine_;
  policy::RecentAnswers answers_;
  // Announcements of the target's run since each crash that this node counted,
  // by number, while that run may still refute it.
  std::map<uint64_t, uint32_t> announced_since_;
  uint64_t crash_number_ = 0;
  Time last_crash_{};
};

}  // namespace ibisvalve::dataplane
