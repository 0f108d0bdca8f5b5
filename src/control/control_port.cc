#include "control/control_port.h"

#include <utility>
#include <vector>

#include "control/keeper_links.h"

namespace ibisvalve::control {
namespace {

// Connections without a received frame for this long are closed.
constexpr Duration kIdleTimeout = std::chrono::seconds(10);
constexpr Duration kIdleCheckInterval = std::chrono::seconds(1);

}  // namespace

ControlPort::ControlPort(net::EventLoop& loop,
                         const world::Endpoint& local,
                         Handlers handlers)
    : loop_(loop),
      handlers_(std::move(handlers)),
      idle_check_timer_(loop, [this] { CloseIdle(); }),
      listener_(loop, local, [this](int fd) { Accept(fd); }) {
  idle_check_timer_.StartPeriodic(kIdleCheckInterval);
}

void ControlPort::Accept(int fd) {
  auto peer = std::make_shared<InboundPeer>();
  peer->last_received = loop_.Now();
  // The handlers hold a weak reference, so that `peers_` alone owns the peer.
  const std::weak_ptr<InboundPeer> weak = peer;
  peer->link = net::FrameLink::Accept(
      loop_, fd,
      {nullptr,
       [this, weak](wire::FrameType type, std::string_view payload) {
         if (const Peer strong = weak.lock()) {
           strong->last_received = loop_.Now();
           handlers_.on_frame(strong, type, payload);
         }
       },
       [this, weak](const std::string&) {
         if (const Peer strong = weak.lock()) {
           Remove(strong);
         }
       },
       nullptr},
      kMaxKeeperPayloadBytes);
  peers_.insert(std::move(peer));
}

void ControlPort::CloseNodes() {
  for (const Peer& peer : std::vector<Peer>(peers_.begin(), peers_.end())) {
    if (peer->node) {
      peer->link->Close();
      Remove(peer);
    }
  }
}

void ControlPort::Remove(const Peer& peer) {
  if (peers_.erase(peer) > 0) {
    handlers_.on_closed(peer);
  }
}

void ControlPort::CloseIdle() {
  const Time oldest = loop_.Now() - kIdleTimeout;
  for (const Peer& peer : std::vector<Peer>(peers_.begin(), peers_.end())) {
    if (peer->last_received < oldest) {
      peer->link->Close();
      Remove(peer);
    }
  }
}

}  // namespace ibisvalve::control
