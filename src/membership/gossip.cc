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

constexpr size_t kPacketBytes = 28;    // headers of IP and UDP, counted as sent
constexpr size_t kHelpers = 3;         // asked to ping a silent member
constexpr uint32_t kBurstSeconds = 4;  // of the byte budget
constexpr uint64_t kRoundsPerSilent = 10;  // between pings of silent members
constexpr uint64_t kRoundsPerSeed = 20;    // between pings of a seed
constexpr uint32_t kNewsShare = 8;  // of the balance, for one message's news
constexpr size_t kOwnRecordBytes = 300;    // longest record of one member
constexpr uint32_t kJoiningFactor = 3;     // peers know that many times more
constexpr uint64_t kMaxRoundsAlone = 16;   // between pings of the seeds
constexpr int kRoundsPerSync = 4;          // between comparisons of tables
constexpr uint32_t kSyncsWhenJoining = 4;  // peers asked at once
constexpr size_t kDatagramsPerSync = 4;    // of members, in answer to one
constexpr size_t kFarewells = 8;           // peers told directly
constexpr size_t kFarewellsConfirmed = 3;  // before the process may end
constexpr uint32_t kMinTransmissions = 2;  // of each change
constexpr size_t kMaxRelays = 1000;
constexpr auto kFarewellTimeout = std::chrono::seconds(2);
constexpr auto kMinSuspicion = std::chrono::seconds(1);

// Number of doublings until a rumour has reached `members` nodes.
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
      budget_(settings.bytes_per_second,
              settings.bytes_per_second * kBurstSeconds),
      peers_(self.id, seed) {
  CHECK(!self.id.empty());
  CHECK_GT(settings.period.count(), 0);
  CHECK_GT(settings.bytes_per_second, 0U);
  self_.state = MemberState::kAlive;
  table_.Merge(self_, now_);
  Changed(self_);
}

GossipActions Gossip::Tick(Time now) {
  now_ = now;
  budget_.Refill(now);
  if (!replaced_) {
    if (now >= next_round_) {
      StartRound();
    }
    CheckProbes();
    CheckLeaving();
  }
  return TakeActions();
}

GossipActions Gossip::Receive(const Endpoint& from,
                              std::string_view bytes,
                              Time now) {
  now_ = now;
  budget_.Refill(now);
  const auto header = wire::ParseHeader(bytes, settings_.datagram_bytes);
  if (!header || header->length + wire::kFrameHeaderBytes != bytes.size()) {
    throw wire::WireError("a datagram is not one whole frame");
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
      throw wire::WireError("a datagram has no type of membership");
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

GossipActions Gossip::Leave(Time now) {
  now_ = now;
  if (!leaving_) {
    leaving_ = true;
    leaving_since_ = now;
    self_.state = MemberState::kLeft;
    ++self_.version;
    Announce();
    for (const Member* peer : peers_.Some(table_, kFarewells, self_.id)) {
      probes_[PingMember(*peer)].farewell = true;
    }
    CheckLeaving();
  }
  return TakeActions();
}

Duration Gossip::SuspicionTime() const {
  return kMinSuspicion + settings_.period * Log2(table_.live()) * 3 / 2;
}

void Gossip::StartRound() {
  next_round_ = now_ + settings_.period;
  ++round_;
  syncs_left_ = kSyncsWhenJoining;
  SweepTable();
  if (leaving_) {
    return;
  }
  ProbeNext();
  if (round_ % kRoundsPerSilent == 0) {
    ProbeSilent();
  }
  if (round_ >= next_seeds_) {
    ProbeSeeds();
  }
}

void Gossip::ProbeNext() {
  if (const Member* target = peers_.Next(table_)) {
    PingMember(*target);
  }
}

// Asks one member that is held as silent, so that a cut that has healed is
// noticed.
void Gossip::ProbeSilent() {
  std::vector<const Member*> silent;
  for (const auto& [id, member] : table_.members()) {
    if (member.state == MemberState::kDead ||
        member.state == MemberState::kUnreachable) {
      silent.push_back(&member);
    }
  }
  if (!silent.empty()) {
    PingMember(*silent[peers_.Below(silent.size())]);
  }
}

// Asks the seeds while alone, and now and then one of them, so that two fleets
// that started apart find each other.
void Gossip::ProbeSeeds() {
  const bool alone = table_.live() <= 1;
  // Alone, less and less often, so that a fleet that starts together does not
  // swamp its seeds.
  const uint64_t pause =
      alone ? std::clamp<uint64_t>(round_, 1, kMaxRoundsAlone) : kRoundsPerSeed;
  next_seeds_ = round_ + 1 + peers_.Below(pause);
  std::vector<Endpoint> seeds = settings_.seeds;
  std::erase(seeds, self_.gossip);
  if (seeds.empty()) {
    return;
  }
  const size_t count = std::min(seeds.size(), alone ? kHelpers : 1);
  const size_t start = peers_.Below(seeds.size());
  for (size_t i = 0; i < count; ++i) {
    PingEndpoint(seeds[(start + i) % seeds.size()]);
  }
}

void Gossip::CheckProbes() {
  std::vector<Probe> failed;
  for (auto it = probes_.begin(); it != probes_.end();) {
    Probe& probe = it->second;
    const Duration age = now_ - probe.sent;
    if (age >= settings_.period * 3 / 2) {
      failed.push_back(probe);
      it = probes_.erase(it);
      continue;
    }
    if (age >= settings_.period / 2 && !probe.indirect) {
      probe.indirect = true;
      AskOthers(probe, it->first);
    }
    ++it;
  }
  for (const Probe& probe : failed) {
    Suspect(probe);
  }
  std::erase_if(relays_, [this](const auto& relay) {
    return now_ - relay.second.sent >= settings_.period * 2;
  });
}

void Gossip::AskOthers(const Probe& probe, uint64_t number) {
  const Member* target = table_.Find(probe.target);
  if (target == nullptr || !IsLive(*target)) {
    return;
  }
  for (const Member* helper : peers_.Some(table_, kHelpers, probe.target)) {
    wire::GossipPingRequest request;
    request.number = number;
    request.target = probe.endpoint;
    SendWithNews(helper->gossip, helper->id, helper->incarnation,
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
  MergeOne(suspect);
  // Tell the member itself, so that it can refute at once.
  PingMember(suspect);
}

void Gossip::SweepTable() {
  for (const Member& member : table_.Sweep(now_, SuspicionTime())) {
    Changed(member);
  }
}

void Gossip::CheckLeaving() {
  if (!leaving_ || leaving_since_ == Time()) {
    return;
  }
  const size_t others = table_.live();
  if (farewells_ >= std::min(kFarewellsConfirmed, others) ||
      now_ - leaving_since_ >= kFarewellTimeout) {
    leaving_since_ = Time();
    actions_.left = true;
  }
}

// Returns whether a message of `sender` is to be taken in.
bool Gossip::Accept(const Endpoint& from, const wire::GossipSender& sender) {
  if (replaced_) {
    return false;
  }
  if (sender.id == self_.id) {
    if (sender.incarnation < self_.incarnation) {
      actions_.clashes.push_back({sender.incarnation, from, false});
    }
    return false;
  }
  return true;
}

void Gossip::OnPing(const Endpoint& from, const wire::GossipPing& ping) {
  if (!Accept(from, ping.sender)) {
    return;
  }
  MergeAll(ping.news);
  if (ping.sender.members <= 1) {
    Introduce(from);
    return;
  }
  wire::GossipAck ack;
  ack.number = ping.number;
  ack.subject = self_.id;
  SendWithNews(from, ping.sender.id, ping.sender.incarnation, std::move(ack));
  Compare(from, ping.sender);
}

// Answers a node that knows nobody with some members, from whom it gets the
// others; a seed that many join at once could not serve them all.
void Gossip::Introduce(const Endpoint& newcomer) {
  SendBuckets(newcomer, DifferingBuckets(table_, {}, RandomBucket()), 1);
}

void Gossip::OnAck(const Endpoint& from, const wire::GossipAck& ack) {
  if (!Accept(from, ack.sender)) {
    return;
  }
  MergeAll(ack.news);
  const auto probe = probes_.find(ack.number);
  if (probe != probes_.end() &&
      (probe->second.target.empty() || probe->second.target == ack.subject)) {
    farewells_ += probe->second.farewell ? 1 : 0;
    probes_.erase(probe);
  }
  const auto relay = relays_.find(ack.number);
  if (relay != relays_.end()) {
    wire::GossipAck answer;
    answer.number = relay->second.number;
    answer.subject = ack.subject;
    const Endpoint origin = relay->second.origin;
    relays_.erase(relay);
    SendWithNews(origin, NodeId(), Incarnation(), std::move(answer));
  }
  Compare(from, ack.sender);
}

void Gossip::OnPingRequest(const Endpoint& from,
                           const wire::GossipPingRequest& request) {
  if (!Accept(from, request.sender)) {
    return;
  }
  MergeAll(request.news);
  if (relays_.size() < kMaxRelays) {
    const uint64_t number = next_number_++;
    relays_[number] = {from, request.number, now_};
    wire::GossipPing ping;
    ping.number = number;
    SendWithNews(request.target, NodeId(), Incarnation(), std::move(ping));
  }
}

void Gossip::OnSync(const Endpoint& from, const wire::GossipSync& sync) {
  if (!Accept(from, sync.sender)) {
    return;
  }
  SendBuckets(from, DifferingBuckets(table_, sync.buckets, sync.start),
              kDatagramsPerSync);
}

// Sends as many of the buckets as go into `max_datagrams` and the budget.
void Gossip::SendBuckets(const Endpoint& to,
                         const std::vector<uint16_t>& buckets,
                         size_t max_datagrams) {
  const size_t room = settings_.datagram_bytes - wire::kFrameHeaderBytes;
  const size_t affordable =
      budget_.available() / (settings_.datagram_bytes + kPacketBytes);
  const auto messages = PackBuckets(table_, buckets, Sender(), room,
                                    std::min(max_datagrams, affordable));
  for (const wire::GossipMembers& message : messages) {
    Send(to, message);
  }
}

void Gossip::OnMembers(const Endpoint& from,
                       const wire::GossipMembers& members) {
  if (!Accept(from, members.sender)) {
    return;
  }
  MergeAll(members.members);
  if (budget_.available() < settings_.datagram_bytes + kPacketBytes) {
    return;
  }
  const wire::GossipMembers answer =
      PackAnswer(table_, members, Sender(),
                 settings_.datagram_bytes - wire::kFrameHeaderBytes);
  if (!answer.members.empty()) {
    Send(from, answer);
  }
}

void Gossip::MergeAll(const MemberBatch& batch) {
  for (const Member& member : batch.Unpack()) {
    MergeOne(member);
  }
}

void Gossip::MergeOne(const Member& heard) {
  if (heard.id == self_.id) {
    OnSelfHeard(heard);
    return;
  }
  const bool known = table_.Find(heard.id) != nullptr;
  if (table_.Merge(heard, now_)) {
    if (!known) {
      peers_.Add(heard.id);
    }
    Changed(*table_.Find(heard.id));
  }
}

void Gossip::OnSelfHeard(const Member& heard) {
  if (replaced_) {
    return;
  }
  if (heard.incarnation > self_.incarnation) {
    // Tell the newer process that this one is still there, then be silent.
    PingEndpoint(heard.gossip);
    replaced_ = true;
    actions_.clashes.push_back({heard.incarnation, heard.gossip, true});
    return;
  }
  if (Overrides(heard, self_) && heard.incarnation == self_.incarnation) {
    self_.version = heard.version + 1;
    Announce();
  }
}

// Spreads this node's own record.
void Gossip::Announce() {
  if (table_.Merge(self_, now_)) {
    Changed(self_);
  }
}

void Gossip::Changed(const Member& member) {
  news_.Add(member.id, Transmissions());
  actions_.changed.push_back(member);
}

// Compares tables by their digests; a difference that lasts is mended by
// sending the members of the buckets that differ.
void Gossip::Compare(const Endpoint& peer, const wire::GossipSender& sender) {
  if (sender.table == table_.digest()) {
    news_.SentAll();
    return;
  }
  const bool joining = table_.live() * kJoiningFactor < sender.members;
  if (leaving_ || syncs_left_ == 0 || (!joining && now_ < next_sync_)) {
    return;
  }
  --syncs_left_;
  next_sync_ = now_ + settings_.period * kRoundsPerSync;
  wire::GossipSync sync;
  sync.sender = Sender();
  sync.start = RandomBucket();
  if (!joining) {
    sync.buckets.assign(table_.digests().begin(), table_.digests().end());
  }
  if (budget_.available() >= wire::Encode(sync).size()) {
    Send(peer, sync);
  }
}

uint64_t Gossip::PingMember(const Member& member) {
  const uint64_t number = next_number_++;
  probes_[number] = {member.id, member.incarnation, member.gossip, now_};
  wire::GossipPing ping;
  ping.number = number;
  SendWithNews(member.gossip, member.id, member.incarnation, std::move(ping));
  return number;
}

void Gossip::PingEndpoint(const Endpoint& endpoint) {
  wire::GossipPing ping;
  ping.number = next_number_++;
  SendWithNews(endpoint, NodeId(), Incarnation(), std::move(ping));
}

template <typename Message>
void Gossip::SendWithNews(const Endpoint& to,
                          const NodeId& peer,
                          Incarnation incarnation,
                          Message message) {
  message.sender = Sender();
  const size_t used = wire::kFrameHeaderBytes + wire::Encode(message).size();
  const size_t room = settings_.datagram_bytes - used;
  message.news = NewsFor(
      peer, incarnation,
      std::min(room, budget_.available() / kNewsShare) + MemberBatch().bytes());
  Send(to, message);
}

template <typename Message>
void Gossip::Send(const Endpoint& to, const Message& message) {
  Datagram datagram{to, wire::EncodeFrame(message)};
  budget_.Take(datagram.bytes.size() + kPacketBytes);
  sent_bytes_ += datagram.bytes.size() + kPacketBytes;
  ++sent_datagrams_;
  actions_.datagrams.push_back(std::move(datagram));
}

// Picks what to tell `peer`: first what it must know of itself, or of this
// node when it may not know it yet.
MemberBatch Gossip::NewsFor(const NodeId& peer,
                            Incarnation incarnation,
                            size_t max_bytes) {
  MemberBatch batch;
  const Member* known = table_.Find(peer);
  if (known == nullptr) {
    batch.Add(self_, kOwnRecordBytes);
  } else if (known->state != MemberState::kAlive ||
             known->incarnation != incarnation) {
    batch.Add(AsTold(*known), kOwnRecordBytes);
  }
  for (const NodeId& id : news_.Pick()) {
    const Member* member = table_.Find(id);
    if (member != nullptr && !batch.Add(AsTold(*member), max_bytes)) {
      break;
    }
    news_.Sent(id);
  }
  return batch;
}

uint16_t Gossip::RandomBucket() {
  return static_cast<uint16_t>(peers_.Below(MemberTable::kBuckets));
}

wire::GossipSender Gossip::Sender() const {
  return {self_.id, self_.incarnation, table_.live(), table_.digest()};
}

uint32_t Gossip::Transmissions() const {
  return kMinTransmissions + 2 * Log2(table_.live());
}

GossipActions Gossip::TakeActions() {
  return std::exchange(actions_, {});
}

}  // namespace ibisvalve::membership
