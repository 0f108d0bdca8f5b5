#include "control/control_port.h"

#include <utility>
#include <vector>

#include "control/keeper_links.h"

namespace ibisvalve::control {
namespace {

// Connections without a received frame for this long are closed.
constexpr Duration kSilence = std::chrono::seconds(10);
constexpr Duration kSweep = std::chrono::seconds(1);

}  // namespace

ControlPort::ControlPort(net::EventLoop& loop,
                         const world::Endpoint& local,
                         Handlers handlers)
    : loop_(loop),
      handlers_(std::move(handlers)),
      sweep_(loop, [this] { DropSilent(); }),
      listener_(loop, local, [this](int fd) { Accept(fd); }) {
  sweep_.StartPeriodic(kSweep);
}

void ControlPort::Accept(int fd) {
  auto peer = std::make_shared<InboundPeer>();
  peer->heard = loop_.Now();
  // The handlers hold a weak reference, so that `peers_` alone owns the peer.
  const std::weak_ptr<InboundPeer> weak = peer;
  peer->link = net::FrameLink::Accept(
      loop_, fd,
      {nullptr,
       [this, weak](wire::FrameType type, std::string_view payload) {
         if (const Peer held = weak.lock()) {
           held->heard = loop_.Now();
           handlers_.on_frame(held, type, payload);
         }
       },
       [this, weak](const std::string&) {
         if (const Peer held = weak.lock()) {
           Remove(held);
         }
       },
       nullptr},
      kKeeperPayloadBytes);
  peers_.insert(std::move(peer));
}

void ControlPort::Remove(const Peer& peer) {
  if (peers_.erase(peer) > 0) {
    handlers_.on_gone(peer);
  }
}

void ControlPort::DropSilent() {
  const Time oldest = loop_.Now() - kSilence;
  for (const Peer& peer : std::vector<Peer>(peers_.begin(), peers_.end())) {
    if (peer->heard < oldest) {
      peer->link->Close();
      Remove(peer);
    }
  }
}

}  // namespace ibisvalve::control
