#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "membership/departure_copies.h"
#include "membership/member_table.h"
#include "membership/membership_settings.h"
#include "membership/outbox.h"
#include "membership/peer_selector.h"
#include "membership/probes.h"
#include "membership/seed_schedule.h"
#include "membership/sync_schedule.h"
#include "membership/update_queue.h"
#include "wire/wire.h"
#include "world/world.h"

namespace ibisvalve::membership {

/// A conflict with another running process that uses this node's id.
struct IdentityClash {
  Incarnation other;         // of the other process
  world::Endpoint endpoint;  // of the other process
  /// Whether the other process is newer, so that this node has stopped taking
  /// part in the protocol.
  bool lost = false;

  auto operator<=>(const IdentityClash&) const = default;
};

/// Side effects of a call on Gossip that the caller has to carry out.
struct GossipActions {
  std::vector<Datagram> datagrams;
  std::vector<world::Member> changed;  // new or changed members
  std::vector<IdentityClash> clashes;
  /// Whether leaving is complete: enough peers have acknowledged it, a time-out
  /// has passed, or this node has been replaced.
  bool left = false;
  /// Whether enough peers have acknowledged the departures of the target's runs
  /// that RecordDeparture was called with so far.
  bool departure_recorded = false;
};

/// The SWIM-style membership protocol of one node, without sockets or timers.
/// Its failure detector pings members directly and then through other members.
/// A member that does not answer becomes suspect and may refute this before it
/// is marked dead. Changes are piggybacked on these messages, and an
/// anti-entropy exchange of table digests corrects remaining differences.
class Gossip {
 public:
  /// Announces `self`, whose gossip endpoint must be the one that is bound.
  /// `seed` initializes the random choice of peers.
  Gossip(const MembershipSettings& settings,
         const world::Member& self,
         uint64_t seed,
         const TableSettings& table = {});

  /// Carries out everything that is due at `now`. Must be called at least four
  /// times per period.
  GossipActions Tick(Time now);
  /// Processes one datagram. Throws WireError if it is not a valid message.
  GossipActions Receive(const world::Endpoint& from,
                        std::string_view bytes,
                        Time now);
  /// Announces a change of this node's service, target state or slots.
  GossipActions SetTarget(const ServiceName& service,
                          world::TargetState state,
                          uint32_t slots,
                          Time now);
  /// Announces that `run` of the target departs, and asks the keepers, or some
  /// other members if no keeper takes part, to remember it. The actions of this
  /// or a later call report `departure_recorded` once enough of them have
  /// confirmed it. self().departed covers `run` then, unless it has no start
  /// and the set is full.
  GossipActions RecordDeparture(const world::TargetRun& run, Time now);
  /// Announces the current run of the target, by its digest, after it has been
  /// heard from more than once.
  GossipActions SetHostedRun(Digest run, Time now);
  /// Replaces the seeds through which this node finds the fleet.
  void SetSeeds(std::vector<world::Endpoint> seeds) {
    seeds_.SetSeeds(std::move(seeds));
  }
  /// Announces that this node leaves. The actions of this or a later call
  /// report `left` once, when enough peers have acknowledged it or after a
  /// time-out.
  GossipActions Leave(Time now);

  /// Returns this node's own announcement.
  const world::Member& self() const { return self_; }
  /// Returns this node's view of the fleet.
  const MemberTable& table() const { return table_; }
  /// Returns whether another member has answered since the start. A keeper that
  /// confirmed a departure has then sent it; a member that had not heard of it
  /// has not, and self() changes later.
  bool joined() const { return joined_; }
  /// Returns whether a newer process with the same id has replaced this one.
  bool replaced() const { return replaced_; }
  /// Returns how long a member stays suspect before it is marked dead; this
  /// grows with the logarithm of the fleet's size.
  Duration SuspicionTime() const;
  /// Returns the number of bytes sent so far, including IP and UDP headers.
  uint64_t sent_bytes() const { return outbox_.sent_bytes(); }
  /// Returns the number of datagrams sent so far.
  uint64_t sent_datagrams() const { return outbox_.sent_datagrams(); }

 private:
  void StartRound();
  void AskSeedsUntilJoined();
  void ProbeForRecovery();
  void SendUpdates();
  void DropProbesAfterSuspension();
  void CheckProbes();
  void SendPingRequests(const Probe& probe, uint64_t number);
  void Suspect(const Probe& probe);
  void CheckLeaving();
  void AddTargetHistory(const world::DepartedRuns& departures,
                        const world::HostedRun& hosted);
  std::set<NodeId> DepartureHolders();
  void SendDeparture();

  void OnPing(const world::Endpoint& from, const wire::GossipPing& ping);
  void SendFirstMembers(const world::Endpoint& endpoint, const NodeId& joiner);
  void OnAck(const world::Endpoint& from, const wire::GossipAck& ack);
  void OnPingRequest(const world::Endpoint& from,
                     const wire::GossipPingRequest& request);
  void OnSync(const world::Endpoint& from, const wire::GossipSync& sync);
  void OnMembers(const world::Endpoint& from,
                 const wire::GossipMembers& members);
  bool Accept(const world::Endpoint& from, const wire::GossipSender& sender);

  void MergeBatch(const wire::MemberBatch& batch);
  void MergeMember(const world::Member& announced);
  void OnOwnRecord(const world::Member& announced);
  void YieldIdentity(Incarnation newer, const world::Endpoint& endpoint);
  void Announce();
  void OnMemberChanged(const world::Member& member);
  void Compare(const world::Endpoint& peer, const wire::GossipSender& sender);
  void CatchUp();
  void SendSync(const world::Endpoint& peer);
  void SendBuckets(const world::Endpoint& to,
                   const std::vector<uint16_t>& buckets,
                   size_t max_datagrams);
  uint16_t RandomBucket();
  void PingMember(const world::Member& member, bool announces_leave = false);
  void PingWithDeparture(const world::Member& member);
  void PingEndpoint(const world::Endpoint& endpoint);
  template <typename Message>
  void SendWithUpdates(const world::Endpoint& to,
                       const NodeId& peer,
                       Incarnation incarnation,
                       Message message);
  wire::MemberBatch UpdatesFor(const NodeId& peer,
                               Incarnation incarnation,
                               size_t room,
                               size_t update_bytes);
  wire::GossipSender Sender() const;
  uint32_t Transmissions() const;
  GossipActions TakeActions();

  MembershipSettings settings_;
  world::Member self_;
  MemberTable table_;
  UpdateQueue updates_;
  SeedSchedule seeds_;
  SyncSchedule syncs_;
  Outbox outbox_;
  PeerSelector peers_;
  Time now_;
  Time last_tick_;
  Time next_round_;
  Time leaving_since_;
  uint64_t round_ = 0;
  Probes probes_;
  size_t leave_acks_ = 0;
  DepartureCopies departure_copies_;
  world::DepartedRuns recorded_departures_;  // which the copies must include
  bool joined_ = false;
  uint32_t early_pings_ = 0;
  bool leaving_ = false;
  bool replaced_ = false;
  GossipActions actions_;
};

}  // namespace ibisvalve::membership
