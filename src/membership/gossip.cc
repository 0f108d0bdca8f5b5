#include "membership/gossip.h"

#include <glog/logging.h>

#include <algorithm>
#include <bit>
#include <utility>

#include "membership/table_sync.h"

namespace ibisvalve::membership {
namespace {

using wire::MemberBatch;
using world::Endpoint;
using world::Member;
using world::MemberState;

// Number of members asked to ping a member that has not answered.
constexpr size_t kIndirectProbes = 3;
// Number of rounds between pings of dead or unreachable members.
constexpr uint64_t kRoundsPerRecoveryProbe = 10;
// Divisor of the available byte budget; the quotient limits the updates that
// are piggybacked on one message.
constexpr uint32_t kUpdateBudgetDivisor = 8;
// Number of peers asked for their tables in a round while this one is behind.
constexpr size_t kPeersToCatchUp = 4;
// Maximum number of datagrams with members sent in answer to one sync.
constexpr size_t kMaxDatagramsPerSync = 4;
// Number of peers that a leaving node pings directly.
constexpr size_t kLeavePings = 8;
// Number of those peers that must answer before the process may exit.
constexpr size_t kMinLeaveAcks = 3;
// Number of ticks at which a node that has just started pings its seeds.
constexpr uint32_t kMaxEarlyPings = 16;
// Number of members that remember a departure where no keeper takes part.
constexpr size_t kDepartureHolders = 8;
// Constant part of the number of times that each change is sent.
constexpr uint32_t kMinTransmissions = 2;
// Time after which a leaving process may exit without acknowledgements.
constexpr auto kLeaveTimeout = std::chrono::seconds(2);
// Constant part of the time that a member stays suspect.
constexpr auto kMinSuspicion = std::chrono::seconds(1);

// Returns how many times the number of informed nodes must double until an
// update has reached `members` nodes.
uint32_t Log2(uint32_t members) {
  return static_cast<uint32_t>(std::bit_width(members));
}

}  // namespace

Gossip::Gossip(const MembershipSettings& settings,
               const Member& self,
               uint64_t seed,
               const TableSettings& table)
    : settings_(settings),
      self_(self),
      table_(table),
      seeds_(settings.seeds),
      syncs_(settings.period),
      outbox_(settings),
      peers_(self.id, seed) {
  CHECK(!self.id.empty());
  CHECK_GT(settings.period.count(), 0);
  CHECK_GT(settings.bytes_per_second, 0U);
  self_.state = MemberState::kAlive;
  table_.Merge(self_, now_);
  OnMemberChanged(self_);
}

GossipActions Gossip::Tick(Time now) {
  now_ = now;
  outbox_.Refill(now);
  if (!replaced_) {
    DropProbesAfterSuspension();
    if (now >= next_round_) {
      StartRound();
    }
    AskSeedsUntilJoined();
    CheckProbes();
    SendUpdates();
    CheckLeaving();
    SendDeparture();
  }
  return TakeActions();
}

GossipActions Gossip::Receive(const Endpoint& from,
                              std::string_view bytes,
                              Time now) {
  now_ = now;
  outbox_.Refill(now);
  const auto header = wire::ParseHeader(bytes, settings_.datagram_bytes);
  if (!header || header->length + wire::kFrameHeaderBytes != bytes.size()) {
    throw wire::WireError(
        "datagram does not contain exactly one complete frame");
  }
  const std::string_view payload = bytes.substr(wire::kFrameHeaderBytes);
  switch (header->type) {
    case wire::GossipPing::kType:
      OnPing(from, wire::Decode<wire::GossipPing>(payload));
      break;
    case wire::GossipAck::kType:
      OnAck(from, wire::Decode<wire::GossipAck>(payload));
      break;
    case wire::GossipPingRequest::kType:
      OnPingRequest(from, wire::Decode<wire::GossipPingRequest>(payload));
      break;
    case wire::GossipSync::kType:
      OnSync(from, wire::Decode<wire::GossipSync>(payload));
      break;
    case wire::GossipMembers::kType:
      OnMembers(from, wire::Decode<wire::GossipMembers>(payload));
      break;
    default:
      throw wire::WireError("datagram is not a membership message");
  }
  return TakeActions();
}

GossipActions Gossip::SetTarget(const ServiceName& service,
                                world::TargetState state,
                                uint32_t slots,
                                Time now) {
  now_ = now;
  self_.service = service;
  self_.target = state;
  self_.slots = slots;
  ++self_.version;
  Announce();
  return TakeActions();
}

GossipActions Gossip::RecordDeparture(const world::TargetRun& run, Time now) {
  now_ = now;
  const world::DepartedRuns recorded = recorded_departures_.With(run);
  if (recorded != recorded_departures_) {
    recorded_departures_ = recorded;
    departure_copies_ = {};
  }
  AddTargetHistory(recorded, self_.hosted);
  const std::set<NodeId>& asked = departure_copies_.unconfirmed();
  const bool waits =
      departure_copies_.pending() &&
      std::any_of(asked.begin(), asked.end(), [this](const NodeId& id) {
        const Member* holder = table_.Find(id);
        return holder != nullptr && IsLive(*holder);
      });
  if (!waits && !departure_copies_.confirmed()) {
    departure_copies_.Start(DepartureHolders());
    SendDeparture();
  }
  actions_.departure_recorded = departure_copies_.confirmed();
  return TakeActions();
}

GossipActions Gossip::SetHostedRun(Digest run, Time now) {
  now_ = now;
  world::HostedRun hosted = self_.hosted;
  if (hosted.run != run) {
    const bool further = hosted.since == self_.incarnation;
    hosted = {self_.incarnation, further ? hosted.number + 1 : 1, run, {}};
  }
  hosted.confirmed = self_.incarnation;
  AddTargetHistory({}, hosted);
  return TakeActions();
}

// Announces what the fleet does not know yet of this node's target.
void Gossip::AddTargetHistory(const world::DepartedRuns& departures,
                              const world::HostedRun& hosted) {
  const world::HostedRun latest = world::Latest(self_.hosted, hosted);
  if (!self_.departed.Includes(departures) || latest != self_.hosted) {
    self_.departed = self_.departed.With(departures);
    self_.hosted = latest;
    ++self_.version;
    Announce();
  }
}

GossipActions Gossip::Leave(Time now) {
  now_ = now;
  if (replaced_) {
    actions_.left = true;
  } else if (!leaving_) {
    leaving_ = true;
    leaving_since_ = now;
    self_.state = MemberState::kLeft;
    ++self_.version;
    Announce();
    for (const Member* peer : peers_.Sample(table_, kLeavePings, self_.id)) {
      PingMember(*peer, true);
    }
    CheckLeaving();
  }
  return TakeActions();
}

Duration Gossip::SuspicionTime() const {
  return kMinSuspicion + settings_.period * Log2(table_.live());
}

void Gossip::StartRound() {
  next_round_ = now_ + settings_.period;
  ++round_;
  syncs_.StartRound();
  for (const Member& member : table_.Sweep(now_, SuspicionTime())) {
    OnMemberChanged(member);
  }
  if (leaving_) {
    return;
  }
  CatchUp();
  if (const Member* target = peers_.Next(table_)) {
    PingMember(*target);
  }
  if (round_ % kRoundsPerRecoveryProbe == 0) {
    ProbeForRecovery();
  }
  for (const Endpoint& seed : seeds_.Due(round_, table_, peers_)) {
    PingEndpoint(seed);
  }
}

// Pings the seeds at every tick at first. What the fleet remembers of this node
// decides which announcements of its target it may trust, and seeds may start
// at the same time as this node.
void Gossip::AskSeedsUntilJoined() {
  if (!joined_ && early_pings_ < kMaxEarlyPings) {
    ++early_pings_;
    for (const Endpoint& seed : settings_.seeds) {
      if (seed != self_.gossip) {
        PingEndpoint(seed);
      }
    }
  }
}

// Pings one random dead or unreachable member, so that the end of a network
// partition is detected.
void Gossip::ProbeForRecovery() {
  std::vector<const Member*> silent;
  for (const auto& [id, member] : table_.members()) {
    if (member.state == MemberState::kDead ||
        member.state == MemberState::kUnreachable) {
      silent.push_back(&member);
    }
  }
  if (!silent.empty()) {
    PingMember(*silent[peers_.RandomBelow(silent.size())]);
  }
}

// Sends updates to a random peer without waiting for a ping, while at least
// half of the byte budget's burst is available.
void Gossip::SendUpdates() {
  if (updates_.empty() || !outbox_.has_surplus()) {
    return;
  }
  for (const Member* peer : peers_.Sample(table_, 1, self_.id)) {
    wire::GossipMembers message;
    message.sender = Sender();
    const size_t room =
        outbox_.max_message_bytes() - wire::Encode(message).size();
    message.members = UpdatesFor(peer->id, peer->incarnation, room, room);
    outbox_.Send(peer->gossip, message);
  }
}

// Discards all pending probes after a gap of more than a period between ticks.
// A process that was suspended has not read the answers, so missing ones do not
// indicate a failure of the members.
void Gossip::DropProbesAfterSuspension() {
  if (now_ - last_tick_ > settings_.period) {
    probes_.Clear();
  }
  last_tick_ = now_;
}

void Gossip::CheckProbes() {
  for (const auto& [number, probe] :
       probes_.TakeForIndirectProbe(now_, settings_.period / 2)) {
    SendPingRequests(probe, number);
  }
  for (const Probe& probe :
       probes_.TakeExpired(now_, settings_.period * 3 / 2)) {
    Suspect(probe);
  }
}

void Gossip::SendPingRequests(const Probe& probe, uint64_t number) {
  const Member* target = table_.Find(probe.target);
  if (target == nullptr || !IsLive(*target)) {
    return;
  }
  for (const Member* helper :
       peers_.Sample(table_, kIndirectProbes, probe.target)) {
    wire::GossipPingRequest request;
    request.number = number;
    request.target = probe.endpoint;
    SendWithUpdates(helper->gossip, helper->id, helper->incarnation,
                    std::move(request));
  }
}

void Gossip::Suspect(const Probe& probe) {
  const Member* target = table_.Find(probe.target);
  if (leaving_ || target == nullptr || target->state != MemberState::kAlive ||
      target->incarnation != probe.incarnation) {
    return;
  }
  Member suspect = *target;
  suspect.state = MemberState::kSuspect;
  MergeMember(suspect);
  // Informs the suspect member itself, so that it can refute immediately.
  PingMember(suspect);
}

void Gossip::CheckLeaving() {
  if (!leaving_ || leaving_since_ == Time()) {
    return;
  }
  const size_t others = table_.live();
  if (leave_acks_ >= std::min(kMinLeaveAcks, others) ||
      now_ - leaving_since_ >= kLeaveTimeout) {
    leaving_since_ = Time();
    actions_.left = true;
  }
}

// Returns the members that are to remember the departure of this node's target:
// the keepers, which a node that restarts asks first, or some other members.
std::set<NodeId> Gossip::DepartureHolders() {
  std::set<NodeId> holders;
  for (const auto& [id, member] : table_.members()) {
    if (IsLive(member) && !member.control.ip.empty() && id != self_.id) {
      holders.insert(id);
    }
  }
  if (holders.empty()) {
    for (const Member* peer :
         peers_.Sample(table_, kDepartureHolders, self_.id)) {
      holders.insert(peer->id);
    }
  }
  return holders;
}

// Sends the departure of the target to the holders that have not confirmed it.
void Gossip::SendDeparture() {
  for (const NodeId& id : departure_copies_.unconfirmed()) {
    const Member* holder = table_.Find(id);
    if (holder != nullptr && IsLive(*holder)) {
      PingWithDeparture(*holder);
    }
  }
}

// Returns whether a message from `sender` is to be processed. Reports a clash
// if another process uses this node's id.
bool Gossip::Accept(const Endpoint& from, const wire::GossipSender& sender) {
  if (replaced_) {
    return false;
  }
  if (sender.id != self_.id) {
    return true;
  }
  if (sender.incarnation < self_.incarnation) {
    actions_.clashes.push_back({sender.incarnation, from, false});
  } else if (sender.incarnation > self_.incarnation && from != self_.gossip) {
    YieldIdentity(sender.incarnation, from);
  }
  return false;
}

void Gossip::OnPing(const Endpoint& from, const wire::GossipPing& ping) {
  if (!Accept(from, ping.sender)) {
    return;
  }
  MergeBatch(ping.updates);
  if (ping.sender.members <= 1) {
    SendFirstMembers(from, ping.sender.id);
    return;
  }
  wire::GossipAck ack;
  ack.number = ping.number;
  ack.subject = self_.id;
  SendWithUpdates(from, ping.sender.id, ping.sender.incarnation,
                  std::move(ack));
  Compare(from, ping.sender);
}

// Answers a node that knows no other member with one datagram of members, from
// which it fetches the rest of the table. A seed that many nodes join at once
// could not send its whole table to each of them. The joiner's own bucket comes
// first, because the joiner may have been restarted and needs its own record.
void Gossip::SendFirstMembers(const Endpoint& endpoint, const NodeId& joiner) {
  const auto first = static_cast<uint16_t>(MemberTable::BucketOf(joiner));
  SendBuckets(endpoint, DifferingBuckets(table_, {}, first), 1);
}

void Gossip::OnAck(const Endpoint& from, const wire::GossipAck& ack) {
  if (!Accept(from, ack.sender)) {
    return;
  }
  joined_ = true;
  MergeBatch(ack.updates);
  const auto probe = probes_.TakeAnswered(ack.number, ack.subject);
  if (probe && probe->announces_leave) {
    ++leave_acks_;
  }
  if (probe && !probe->announces_departures.empty() &&
      probe->announces_departures.Includes(recorded_departures_) &&
      departure_copies_.Confirm(ack.subject)) {
    actions_.departure_recorded = true;
  }
  if (const auto relay = probes_.TakeAnsweredRelay(ack.number)) {
    wire::GossipAck answer;
    answer.number = relay->number;
    answer.subject = ack.subject;
    SendWithUpdates(relay->origin, NodeId(), Incarnation(), std::move(answer));
  }
  Compare(from, ack.sender);
}

void Gossip::OnPingRequest(const Endpoint& from,
                           const wire::GossipPingRequest& request) {
  if (!Accept(from, request.sender)) {
    return;
  }
  MergeBatch(request.updates);
  if (const auto number = probes_.AddRelay({from, request.number, now_})) {
    wire::GossipPing ping;
    ping.number = *number;
    SendWithUpdates(request.target, NodeId(), Incarnation(), std::move(ping));
  }
}

void Gossip::OnSync(const Endpoint& from, const wire::GossipSync& sync) {
  if (!Accept(from, sync.sender)) {
    return;
  }
  SendBuckets(from, DifferingBuckets(table_, sync.buckets, sync.start),
              kMaxDatagramsPerSync);
}

// Sends as many of the buckets as fit into `max_datagrams` and the byte budget.
void Gossip::SendBuckets(const Endpoint& to,
                         const std::vector<uint16_t>& buckets,
                         size_t max_datagrams) {
  const auto messages =
      PackBuckets(table_, buckets, Sender(), outbox_.max_message_bytes(),
                  std::min(max_datagrams, outbox_.affordable_datagrams()));
  for (const wire::GossipMembers& message : messages) {
    outbox_.Send(to, message);
  }
}

void Gossip::OnMembers(const Endpoint& from,
                       const wire::GossipMembers& members) {
  if (!Accept(from, members.sender)) {
    return;
  }
  joined_ = true;
  MergeBatch(members.members);
  if (outbox_.affordable_datagrams() == 0) {
    return;
  }
  const wire::GossipMembers answer =
      PackAnswer(table_, members, Sender(), outbox_.max_message_bytes());
  if (!answer.members.empty()) {
    outbox_.Send(from, answer);
  }
}

void Gossip::MergeBatch(const MemberBatch& batch) {
  for (const Member& member : batch.Unpack()) {
    MergeMember(member);
  }
}

void Gossip::MergeMember(const Member& announced) {
  if (announced.id == self_.id) {
    OnOwnRecord(announced);
    return;
  }
  const bool known = table_.Find(announced.id) != nullptr;
  if (table_.Merge(announced, now_)) {
    if (!known) {
      peers_.Add(announced.id);
    }
    OnMemberChanged(*table_.Find(announced.id));
  }
}

void Gossip::OnOwnRecord(const Member& announced) {
  if (replaced_) {
    return;
  }
  // Others may be recorded by an earlier process of this node.
  AddTargetHistory(announced.departed, announced.hosted);
  if (announced.incarnation > self_.incarnation &&
      announced.gossip == self_.gossip) {
    // No other process can be bound to this endpoint, so the announcement comes
    // from an earlier run of this node. Its incarnation is higher because the
    // wall clock has been set back since.
    self_.incarnation = Incarnation(announced.incarnation.value + 1);
    Announce();
    return;
  }
  if (announced.incarnation > self_.incarnation) {
    YieldIdentity(announced.incarnation, announced.gossip);
    return;
  }
  if (Overrides(announced, self_) &&
      announced.incarnation == self_.incarnation) {
    self_.version = announced.version + 1;
    Announce();
  }
}

// Pings the newer process, so that it detects the clash too, and stops taking
// part in the protocol.
void Gossip::YieldIdentity(Incarnation newer, const Endpoint& endpoint) {
  PingEndpoint(endpoint);
  replaced_ = true;
  actions_.clashes.push_back({newer, endpoint, true});
}

// Queues this node's own record for dissemination.
void Gossip::Announce() {
  if (table_.Merge(self_, now_)) {
    OnMemberChanged(self_);
  }
}

void Gossip::OnMemberChanged(const Member& member) {
  updates_.Add(member.id, Transmissions());
  actions_.changed.push_back(member);
}

// Compares the digest of a peer's table with this one. If they differ and a
// sync is due, requests the members of the buckets that differ.
void Gossip::Compare(const Endpoint& peer, const wire::GossipSender& sender) {
  syncs_.RecordComparison(table_.live(), sender.members);
  if (sender.table == table_.digest()) {
    updates_.CountTransmissionOfAll();
  } else if (!leaving_ && syncs_.IsDue(now_)) {
    SendSync(peer);
  }
}

// Sends a sync to several peers per round while this table is much smaller than
// theirs.
void Gossip::CatchUp() {
  if (syncs_.behind()) {
    for (const Member* peer :
         peers_.Sample(table_, kPeersToCatchUp, self_.id)) {
      SendSync(peer->gossip);
    }
  }
}

void Gossip::SendSync(const Endpoint& peer) {
  wire::GossipSync sync;
  sync.sender = Sender();
  sync.start = RandomBucket();
  if (syncs_.ShouldSendDigests(table_.live())) {
    sync.buckets.assign(table_.digests().begin(), table_.digests().end());
  }
  const bool affordable = outbox_.available() >= wire::Encode(sync).size();
  if (affordable && syncs_.TakeRequest(now_)) {
    outbox_.Send(peer, sync);
  }
}

void Gossip::PingMember(const Member& member, bool announces_leave) {
  wire::GossipPing ping;
  ping.number = probes_.Add(
      {member.id, member.incarnation, member.gossip, now_, announces_leave});
  SendWithUpdates(member.gossip, member.id, member.incarnation,
                  std::move(ping));
}

// The record of this node comes first, so that it is sent whatever else waits.
void Gossip::PingWithDeparture(const Member& member) {
  wire::GossipPing ping;
  ping.sender = Sender();
  ping.number = probes_.Add({member.id, member.incarnation, member.gossip, now_,
                             false, self_.departed});
  const size_t room = outbox_.max_message_bytes() - wire::Encode(ping).size();
  ping.updates.Add(self_, ping.updates.bytes() + room);
  outbox_.Send(member.gossip, ping);
}

void Gossip::PingEndpoint(const Endpoint& endpoint) {
  wire::GossipPing ping;
  ping.number = probes_.NewNumber();
  SendWithUpdates(endpoint, NodeId(), Incarnation(), std::move(ping));
}

template <typename Message>
void Gossip::SendWithUpdates(const Endpoint& to,
                             const NodeId& peer,
                             Incarnation incarnation,
                             Message message) {
  message.sender = Sender();
  const size_t room =
      outbox_.max_message_bytes() - wire::Encode(message).size();
  message.updates =
      UpdatesFor(peer, incarnation, room,
                 std::min(room, outbox_.available() / kUpdateBudgetDivisor));
  outbox_.Send(to, message);
}

// Returns the updates to piggyback on a message to `peer`, in at most `room`
// bytes. The first is this node's own record if `peer` is unknown here and thus
// may not know this node, or the record of `peer` if it is not alive or has
// another incarnation, so that `peer` can refute it, or if a departure of its
// target is known, of which `peer` may not know after a restart. Queued updates
// follow as long as the batch stays within `update_bytes`.
MemberBatch Gossip::UpdatesFor(const NodeId& peer,
                               Incarnation incarnation,
                               size_t room,
                               size_t update_bytes) {
  MemberBatch batch;
  const size_t empty = batch.bytes();
  const Member* known = table_.Find(peer);
  if (known == nullptr) {
    batch.Add(self_, empty + room);
  } else if (known->state != MemberState::kAlive ||
             known->incarnation != incarnation || !known->departed.empty()) {
    batch.Add(ToAnnouncement(*known), empty + room);
  }
  updates_.FillBatch(table_, empty + update_bytes, batch);
  return batch;
}

uint16_t Gossip::RandomBucket() {
  return static_cast<uint16_t>(peers_.RandomBelow(MemberTable::kBuckets));
}

wire::GossipSender Gossip::Sender() const {
  return {self_.id, self_.incarnation, table_.live(), table_.digest()};
}

uint32_t Gossip::Transmissions() const {
  return kMinTransmissions + 2 * Log2(table_.live());
}

GossipActions Gossip::TakeActions() {
  actions_.datagrams = outbox_.Take();
  return std::exchange(actions_, {});
}

}  // namespace ibisvalve::membership
