#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "membership/member_table.h"
#include "membership/membership_settings.h"
#include "membership/news_queue.h"
#include "membership/peer_order.h"
#include "membership/token_bucket.h"
#include "wire/wire.h"
#include "world/world.h"

namespace ibisvalve::membership {

/// A datagram to be sent.
struct Datagram {
  world::Endpoint to;
  std::string bytes;

  auto operator<=>(const Datagram&) const = default;
};

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
  uint64_t sent_bytes() const { return sent_bytes_; }
  uint64_t sent_datagrams() const { return sent_datagrams_; }

 private:
  // A ping of this node that waits for its answer.
  struct Probe {
    NodeId target;  // empty: a seed
    Incarnation incarnation;
    world::Endpoint endpoint;
    Time sent;
    bool indirect = false;  // others were asked to ping, too
    bool farewell = false;
  };

  // A ping made for another node.
  struct Relay {
    world::Endpoint origin;
    uint64_t number = 0;
    Time sent;
  };

  void StartRound();
  void ProbeNext();
  void ProbeSilent();
  void ProbeSeeds();
  void CheckProbes();
  void AskOthers(const Probe& probe, uint64_t number);
  void Suspect(const Probe& probe);
  void SweepTable();
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
  void Announce();
  void Changed(const world::Member& member);
  void Compare(const world::Endpoint& peer, const wire::GossipSender& sender);
  void SendSync(const world::Endpoint& peer);
  void SendBuckets(const world::Endpoint& to,
                   const std::vector<uint16_t>& buckets,
                   size_t max_datagrams);
  uint16_t RandomBucket();
  uint64_t PingMember(const world::Member& member);
  void PingEndpoint(const world::Endpoint& endpoint);
  template <typename Message>
  void SendWithNews(const world::Endpoint& to,
                    const NodeId& peer,
                    Incarnation incarnation,
                    Message message);
  template <typename Message>
  void Send(const world::Endpoint& to, const Message& message);
  wire::MemberBatch NewsFor(const NodeId& peer,
                            Incarnation incarnation,
                            size_t max_bytes);
  wire::GossipSender Sender() const;
  uint32_t Transmissions() const;
  GossipActions TakeActions();

  MembershipSettings settings_;
  world::Member self_;
  MemberTable table_;
  NewsQueue news_;
  TokenBucket budget_;
  PeerOrder peers_;
  Time now_;
  Time next_round_;
  Time next_sync_;
  Time leaving_since_;
  uint64_t round_ = 0;
  uint64_t next_seeds_ = 0;  // round in which seeds are pinged
  uint64_t next_number_ = 1;
  std::map<uint64_t, Probe> probes_;
  std::map<uint64_t, Relay> relays_;
  uint32_t syncs_left_ = 0;  // this round
  size_t farewells_ = 0;     // confirmed
  bool leaving_ = false;
  bool replaced_ = false;
  uint64_t sent_bytes_ = 0;
  uint64_t sent_datagrams_ = 0;
  GossipActions actions_;
};

}  // namespace ibisvalve::membership
