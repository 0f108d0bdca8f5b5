#include "dataplane/peer_table.h"

#include <algorithm>
#include <utility>

#include "dataplane/events.h"

namespace ibisvalve::dataplane {
namespace {

constexpr Duration kIdleTimeout = std::chrono::seconds(30);
constexpr Duration kIdleCheckInterval = std::chrono::seconds(5);
// A congested link is given up after at most this many times the silence that
// counts as a cut of an idle one.
constexpr int kMaxSilenceFactor = 5;

}  // namespace

PeerTable::PeerTable(net::EventLoop& loop,
                     const PlaneSettings& settings,
                     const FleetView& view,
                     Handlers handlers)
    : loop_(loop),
      settings_(settings),
      view_(view),
      handlers_(std::move(handlers)),
      idle_timer_(loop, [this] { CloseIdle(); }) {
  idle_timer_.StartPeriodic(kIdleCheckInterval);
}

std::optional<uint64_t> PeerTable::GetOrOpenLink(const NodeId& gate) {
  const world::Member* member = view_.Find(gate);
  if (member == nullptr) {
    return std::nullopt;
  }
  Peer& peer = PeerFor(gate);
  if (peer.link == nullptr) {
    Open(gate, peer, member->mesh);
  }
  return peer.number;
}

void PeerTable::BeginAttempt(const NodeId& gate, uint64_t link) {
  if (MeshLink* open_link = Find(gate, link)) {
    open_link->BeginAttempt();
  }
}

void PeerTable::EndAttempt(const NodeId& gate, uint64_t link) {
  if (MeshLink* open_link = Find(gate, link)) {
    open_link->EndAttempt();
  }
}

Incarnation PeerTable::IncarnationOf(const NodeId& gate) const {
  const world::Member* member = view_.Find(gate);
  const Incarnation announced =
      member == nullptr ? Incarnation() : member->incarnation;
  const auto peer = peers_.find(gate);
  return peer == peers_.end() ? announced
                              : std::max(announced, peer->second.incarnation);
}

size_t PeerTable::links() const {
  return static_cast<size_t>(std::count_if(
      peers_.begin(), peers_.end(),
      [](const auto& peer) { return peer.second.link != nullptr; }));
}

uint64_t PeerTable::sent_bytes() const {
  uint64_t bytes = closed_sent_bytes_;
  for (const auto& [gate, peer] : peers_) {
    bytes += peer.link == nullptr ? 0 : peer.link->sent_bytes();
  }
  return bytes;
}

uint64_t PeerTable::pings() const {
  uint64_t pings = closed_pings_;
  for (const auto& [gate, peer] : peers_) {
    pings += peer.link == nullptr ? 0 : peer.link->pings();
  }
  return pings;
}

PeerTable::Peer& PeerTable::PeerFor(const NodeId& gate) {
  policy::SilenceSettings settings;
  settings.min = settings_.link_silence;
  settings.max = kMaxSilenceFactor * settings_.link_silence;
  return peers_.try_emplace(gate, settings).first->second;
}

MeshLink* PeerTable::Find(const NodeId& gate, uint64_t link) {
  const auto peer = peers_.find(gate);
  return peer == peers_.end() || peer->second.number != link
             ? nullptr
             : peer->second.link.get();
}

void PeerTable::Open(const NodeId& gate,
                     Peer& peer,
                     const world::Endpoint& remote) {
  const uint64_t number = ++next_number_;
  peer.number = number;
  MeshLink::Handlers handlers;
  handlers.on_hello = [this, gate](const wire::MeshHello& hello) {
    if (hello.node != gate) {
      throw wire::WireError(
          "the node id in the hello differs from the expected peer");
    }
    peers_.at(gate).incarnation = hello.incarnation;
    if (hello.revision > view_.revision()) {
      handlers_.on_newer_revision(gate, hello.revision);
    }
  };
  handlers.on_reply = [this, gate](GateReply reply) {
    handlers_.on_reply(gate, std::move(reply));
  };
  handlers.on_pong = [this, gate](const wire::Pong& pong) {
    handlers_.on_hint(gate, pong.hint);
    if (pong.revision > view_.revision()) {
      handlers_.on_newer_revision(gate, pong.revision);
    }
  };
  handlers.on_load = [this, gate](const wire::LoadHint& hint) {
    handlers_.on_hint(gate, hint);
    if (hint.revision > view_.revision()) {
      handlers_.on_newer_revision(gate, hint.revision);
    }
  };
  handlers.on_file = [this](const wire::ActiveFile& file) {
    handlers_.on_file(file);
  };
  handlers.on_crash_sync = [this, gate](const wire::CrashSyncReply& reply) {
    handlers_.on_crash_sync(gate, reply);
  };
  handlers.on_failed = [this, gate, number](LinkFailure failure,
                                            const std::string& why) {
    OnLinkFailed(gate, number, failure, why);
  };
  peer.link = std::make_unique<MeshLink>(
      loop_, remote,
      wire::MeshHello{settings_.id, settings_.incarnation, view_.revision()},
      peer.silence, std::move(handlers));
}

void PeerTable::OnLinkFailed(const NodeId& gate,
                             uint64_t link,
                             LinkFailure failure,
                             const std::string& why) {
  if (Find(gate, link) == nullptr) {
    return;
  }
  LogEvent(failure == LinkFailure::kSilent ? kMeshLinkSilent : kMeshLinkLost,
           {{"gate", gate.value}, {"why", why}});
  std::unique_ptr<MeshLink> failed_link = std::move(peers_.at(gate).link);
  closed_sent_bytes_ += failed_link->sent_bytes();
  closed_pings_ += failed_link->pings();
  // A callback of the link may be on the stack, so the link is destroyed later,
  // from the event loop.
  loop_.Post([gone = std::shared_ptr<MeshLink>(std::move(failed_link))] {});
  handlers_.on_failed(gate, link, failure);
}

void PeerTable::CloseIdle() {
  const Time now = loop_.Now();
  for (auto& [gate, peer] : peers_) {
    if (peer.link != nullptr && peer.link->in_flight() == 0 &&
        now - peer.link->idle_since() > kIdleTimeout) {
      closed_sent_bytes_ += peer.link->sent_bytes();
      closed_pings_ += peer.link->pings();
      peer.link = nullptr;
    }
  }
}

}  // namespace ibisvalve::dataplane
