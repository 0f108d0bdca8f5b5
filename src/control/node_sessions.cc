#include "control/node_sessions.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "control/events.h"
#include "control/file_codec.h"

namespace ibisvalve::control {
namespace {

constexpr Duration kBatchDelay = std::chrono::milliseconds(10);
// Nodes that follow one keeper lag by few revisions at a time.
constexpr size_t kMaxEncodedTexts = 16;

}  // namespace

NodeSessions::NodeSessions(net::EventLoop& loop,
                           const ReplicaDriver& driver,
                           Report report)
    : driver_(driver),
      report_(std::move(report)),
      batch_timer_(loop, [this] { SendBatch(); }) {}

bool NodeSessions::OnFrame(const ControlPort::Peer& peer,
                           wire::FrameType type,
                           std::string_view payload) {
  switch (type) {
    case wire::FollowKeeper::kType:
      Follow(peer, wire::Decode<wire::FollowKeeper>(payload));
      return true;
    case wire::NodeHeartbeat::kType:
      Heartbeat(peer, wire::Decode<wire::NodeHeartbeat>(payload));
      return true;
    case wire::LeaveKeeper::kType:
      Leave(peer, wire::Decode<wire::LeaveKeeper>(payload));
      return true;
    default:
      return false;
  }
}

void NodeSessions::OnClosed(const ControlPort::Peer& peer) {
  node_peers_.erase(peer);
  unreported_.erase(peer);
}

void NodeSessions::OnApplied() {
  for (const ControlPort::Peer& peer : node_peers_) {
    // Before a file, with which a node may start to serve.
    SendCrashes(*peer);
    SendZones(*peer);
    SendFiles(*peer);
  }
}

void NodeSessions::ReportAll() {
  for (const ControlPort::Peer& peer : node_peers_) {
    if (peer->heartbeat.report.number > 0) {
      unreported_.insert(peer);
    }
  }
  if (!unreported_.empty() && !batch_timer_.running()) {
    batch_timer_.StartOnce(kBatchDelay);
  }
}

void NodeSessions::SendGrants(const wire::SessionGrants& grants) {
  std::map<std::pair<NodeId, Incarnation>, const wire::SessionGrant*> by_node;
  for (const wire::SessionGrant& grant : grants.grants) {
    by_node[{grant.node, grant.incarnation}] = &grant;
  }
  for (const ControlPort::Peer& peer : node_peers_) {
    const auto found =
        by_node.find({peer->node->node, peer->node->incarnation});
    if (found != by_node.end()) {
      peer->link->Send(wire::LeaseGrant{found->second->number, grants.active,
                                        grants.lease_us,
                                        found->second->departed});
    }
  }
}

void NodeSessions::Follow(const ControlPort::Peer& peer,
                          const wire::FollowKeeper& follow) {
  if (driver_.paused()) {
    throw wire::WireError("this keeper waits for room on its disk");
  }
  const wire::GroupId group = driver_.replica().members().group;
  if (follow.group.value != 0 && group.value != 0 && follow.group != group) {
    LogEvent(kForeignGroup, {{"node", follow.node.value}});
    throw wire::WireError("node follows a different group of keepers");
  }
  if (!peer->node) {
    LogEvent(kNodeFollows, {{"node", follow.node.value},
                            {"incarnation", follow.incarnation.value}});
  }
  peer->node = follow;
  node_peers_.insert(peer);
  SendCrashes(*peer);
  SendZones(*peer);
}

// Returns whether all committed entries have been applied. A keeper that was
// restarted or lags still applies old entries, which have been replaced since.
bool NodeSessions::IsCaughtUp() const {
  return driver_.state().applied() >= driver_.replica().commit();
}

// Sends the records that quarantine something, without which the node must not
// serve, and what became of those that it was sent before. The others only
// inform, and the node's file would wait behind them.
void NodeSessions::SendCrashes(InboundPeer& peer) {
  const uint64_t version = driver_.state().crashes().version();
  if (!IsCaughtUp() || peer.sent_crashes_version == version) {
    return;
  }
  peer.sent_crashes_version = version;
  wire::CrashReport report;
  for (const world::CrashRecord& record :
       driver_.state().crashes().Records(WallMicros())) {
    const auto sent = peer.sent_crashes.find(record.resource);
    const bool known = sent != peer.sent_crashes.end();
    if (!known && world::WeightOf(record) != world::CrashWeight::kQuarantines) {
      continue;
    }
    const Digest digest = world::DigestOf(record);
    if (!known || sent->second != digest) {
      peer.sent_crashes[record.resource] = digest;
      report.records.push_back(record);
    }
  }
  if (!report.records.empty()) {
    peer.link->Send(report);
  }
}

// Zone orders go before the file, with which a node may start to serve.
void NodeSessions::SendZones(InboundPeer& peer) {
  const ZoneOrders& zones = driver_.state().zones();
  if (!IsCaughtUp() || zones.version() <= peer.sent_zones) {
    return;
  }
  peer.sent_zones = zones.version();
  peer.link->Send(wire::ZoneOrdersUpdate{zones.version(), zones.evacuated()});
}

void NodeSessions::Heartbeat(const ControlPort::Peer& peer,
                             const wire::NodeHeartbeat& heartbeat) {
  if (!peer->node) {
    throw wire::WireError(
        "heartbeat received before the node identified itself");
  }
  const std::string status =
      heartbeat.status.empty() ? peer->heartbeat.status : heartbeat.status;
  peer->heartbeat = heartbeat;
  peer->heartbeat.status = status;
  unreported_.insert(peer);
  SendFiles(*peer);
  if (!batch_timer_.running()) {
    batch_timer_.StartOnce(kBatchDelay);
  }
}

void NodeSessions::Leave(const ControlPort::Peer& peer,
                         const wire::LeaveKeeper& leave) {
  LogEvent(kNodeLeft, {{"node", leave.node.value}});
  left_.push_back(leave);
  unreported_.erase(peer);
  SendBatch();
  peer->link->Send(leave);  // acknowledgement: the node may stop
}

void NodeSessions::SendFiles(InboundPeer& peer) {
  if (!IsCaughtUp()) {
    return;
  }
  const ConfigHistory& config = driver_.state().config();
  const wire::NodeReport& report = peer.heartbeat.report;
  const ConfigRecord* active = config.active();
  // What this connection has carried arrives before the next file.
  const Revision base = std::max(report.active, peer.sent_active);
  if (active != nullptr && base < active->revision) {
    peer.sent_active = active->revision;
    SendFile(peer, *active, true, base);
  }
  const ConfigRecord* staged = config.staged();
  if (staged != nullptr && report.staged != staged->revision &&
      report.refused != staged->revision &&
      peer.sent_staged < staged->revision) {
    peer.sent_staged = staged->revision;
    SendFile(peer, *staged, false, std::max(base, peer.sent_active));
  }
}

void NodeSessions::SendFile(InboundPeer& peer,
                            const ConfigRecord& record,
                            bool active,
                            Revision base) {
  const ConfigRecord* base_record = driver_.state().config().Find(base);
  if (base_record == nullptr || base_record->text.empty()) {
    base = Revision();
  }
  const bool has_text = peer.heartbeat.report.staged == record.revision;
  const wire::ConfigUpdate update{driver_.replica().members().group,
                                  record.revision,
                                  record.digest,
                                  active,
                                  base,
                                  has_text ? "" : Encode(record, base)};
  LogEvent(kFileSent, {{"node", peer.node->node.value},
                       {"revision", record.revision.value},
                       {"in_force", active ? "yes" : "no"},
                       {"base", base.value},
                       {"bytes", uint64_t{update.encoded_text.size()}},
                       {"present", peer.heartbeat.report.active.value},
                       {"queued", uint64_t{peer.link->pending_bytes()}}});
  peer.link->Send(update);
}

// Returns the encoded text of `record`, which is the same for all nodes with
// the same base.
const std::string& NodeSessions::Encode(const ConfigRecord& record,
                                        Revision base) {
  const auto [entry, inserted] =
      encoded_.try_emplace({record.revision, base}, "");
  if (inserted) {
    const ConfigRecord* base_record = driver_.state().config().Find(base);
    entry->second = EncodeText(record.text,
                               base_record == nullptr ? "" : base_record->text);
    // Evicts a text of the oldest revision, but not the one just added.
    if (encoded_.size() > kMaxEncodedTexts) {
      encoded_.erase(entry == encoded_.begin() ? std::next(entry)
                                               : encoded_.begin());
    }
  }
  return entry->second;
}

void NodeSessions::SendBatch() {
  batch_timer_.Stop();
  wire::SessionReports reports;
  for (const ControlPort::Peer& peer : std::exchange(unreported_, {})) {
    reports.sessions.push_back(
        wire::SessionReport{*peer->node, peer->heartbeat});
  }
  reports.left = std::exchange(left_, {});
  report_(reports);
}

}  // namespace ibisvalve::control
