#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "membership/member_table.h"
#include "membership/membership_settings.h"
#include "membership/news_queue.h"
#include "membership/outbox.h"
#include "membership/peer_order.h"
#include "membership/probes.h"
#include "membership/seed_schedule.h"
#include "membership/sync_schedule.h"
#include "wire/wire.h"
#include "world/world.h"

namespace ibisvalve::membership {

/// Another live process that uses this node's id.
struct IdentityClash {
  Incarnation other;
  world::Endpoint endpoint;
  bool lost = false;  // the other is newer: this node announces itself no more

  auto operator<=>(const IdentityClash&) const = default;
};

/// What the caller of Gossip has to do.
struct GossipActions {
  std::vector<Datagram> datagrams;
  std::vector<world::Member> changed;  // members that are new or changed
  std::vector<IdentityClash> clashes;
  bool left = false;  // the farewell is known to enough peers
};

/// The membership protocol of one node: a failure detector that asks members
/// directly and through others, suspicions that may be refuted, changes passed
/// on with these messages, and a slow comparison of whole tables.
class Gossip {
 public:
  /// Announces `self`, whose gossip endpoint must be the real one. `seed` is
  /// for the choice of peers.
  Gossip(const MembershipSettings& settings,
         const world::Member& self,
         uint64_t seed,
         const TableSettings& table = {});

  /// Does what is due at `now`; to be called at least four times a period.
  GossipActions Tick(Time now);
  /// Takes in one datagram. Throws WireError when it is no valid message.
  GossipActions Receive(const world::Endpoint& from,
                        std::string_view bytes,
                        Time now);
  /// Announces a changed target.
  GossipActions SetTarget(const ServiceName& service,
                          world::TargetState state,
                          uint32_t slots,
                          Time now);
  /// Other seeds help to find the fleet from now on.
  void SetSeeds(std::vector<world::Endpoint> seeds) {
    seeds_.SetSeeds(std::move(seeds));
  }
  /// Says goodbye. `left` is reported once, after some peers have confirmed or
  /// a time-out.
  GossipActions Leave(Time now);

  /// Returns this node as announced.
  const world::Member& self() const { return self_; }
  /// Returns everything known of the fleet.
  const MemberTable& table() const { return table_; }
  /// Returns whether a newer process with the same id has replaced this one.
  bool replaced() const { return replaced_; }
  /// Returns how long a suspicion lasts with the fleet's present size.
  Duration SuspicionTime() const;
  /// Returns what was sent so far.
  uint64_t sent_bytes() const { return outbox_.sent_bytes(); }
  uint64_t sent_datagrams() const { return outbox_.sent_datagrams(); }

 private:
  void StartRound();
  void ProbeSilent();
  void PushNews();
  void ForgetProbesAfterPause();
  void CheckProbes();
  void AskOthers(const Probe& probe, uint64_t number);
  void Suspect(const Probe& probe);
  void CheckLeaving();

  void OnPing(const world::Endpoint& from, const wire::GossipPing& ping);
  void Introduce(const world::Endpoint& newcomer);
  void OnAck(const world::Endpoint& from, const wire::GossipAck& ack);
  void OnPingRequest(const world::Endpoint& from,
                     const wire::GossipPingRequest& request);
  void OnSync(const world::Endpoint& from, const wire::GossipSync& sync);
  void OnMembers(const world::Endpoint& from,
                 const wire::GossipMembers& members);
  bool Accept(const world::Endpoint& from, const wire::GossipSender& sender);

  void MergeAll(const wire::MemberBatch& batch);
  void MergeOne(const world::Member& heard);
  void OnSelfHeard(const world::Member& heard);
  void GiveWay(Incarnation newer, const world::Endpoint& endpoint);
  void Announce();
  void Changed(const world::Member& member);
  void Compare(const world::Endpoint& peer, const wire::GossipSender& sender);
  void CatchUp();
  void SendSync(const world::Endpoint& peer);
  void SendBuckets(const world::Endpoint& to,
                   const std::vector<uint16_t>& buckets,
                   size_t max_datagrams);
  uint16_t RandomBucket();
  void PingMember(const world::Member& member, bool farewell = false);
  void PingEndpoint(const world::Endpoint& endpoint);
  template <typename Message>
  void SendWithNews(const world::Endpoint& to,
                    const NodeId& peer,
                    Incarnation incarnation,
                    Message message);
  wire::MemberBatch NewsFor(const NodeId& peer,
                            Incarnation incarnation,
                            size_t room,
                            size_t news_bytes);
  wire::GossipSender Sender() const;
  uint32_t Transmissions() const;
  GossipActions TakeActions();

  MembershipSettings settings_;
  world::Member self_;
  MemberTable table_;
  NewsQueue news_;
  SeedSchedule seeds_;
  SyncSchedule syncs_;
  Outbox outbox_;
  PeerOrder peers_;
  Time now_;
  Time last_tick_;
  Time next_round_;
  Time leaving_since_;
  uint64_t round_ = 0;
  Probes probes_;
  size_t farewells_ = 0;  // confirmed
  bool leaving_ = false;
  bool replaced_ = false;
  GossipActions actions_;
};

}  // namespace ibisvalve::membership
