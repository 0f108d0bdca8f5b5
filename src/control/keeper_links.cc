#include "control/keeper_links.h"

#include <utility>

#include "control/events.h"

namespace ibisvalve::control {
namespace {

constexpr Duration kTend = std::chrono::milliseconds(100);
constexpr Duration kSilence = std::chrono::seconds(2);
constexpr Duration kRedial = std::chrono::milliseconds(150);

}  // namespace

KeeperLinks::KeeperLinks(net::EventLoop& loop, Handlers handlers)
    : loop_(loop),
      handlers_(std::move(handlers)),
      tend_(loop, [this] { Tend(); }) {
  tend_.StartPeriodic(kTend);
}

void KeeperLinks::Want(const std::set<world::Endpoint>& endpoints) {
  std::erase_if(links_, [&](const auto& entry) {
    return !endpoints.contains(entry.first);
  });
  for (const world::Endpoint& endpoint : endpoints) {
    const auto [place, fresh] = links_.try_emplace(endpoint);
    if (fresh) {
      Dial(endpoint, place->second);
    }
  }
}

const wire::KeeperHello* KeeperLinks::HelloAt(
    const world::Endpoint& endpoint) const {
  const auto found = links_.find(endpoint);
  return found != links_.end() && found->second.hello ? &*found->second.hello
                                                      : nullptr;
}

uint64_t KeeperLinks::LinkNumber(const world::Endpoint& endpoint) const {
  const auto found = links_.find(endpoint);
  return found != links_.end() && found->second.hello ? found->second.number
                                                      : 0;
}

std::map<world::Endpoint, wire::KeeperHello> KeeperLinks::Hellos() const {
  std::map<world::Endpoint, wire::KeeperHello> hellos;
  for (const auto& [endpoint, outbound] : links_) {
    if (outbound.hello) {
      hellos[endpoint] = *outbound.hello;
    }
  }
  return hellos;
}

// Sends a hello as a heartbeat on every connected link, closes silent links and
// reconnects lost ones.
void KeeperLinks::Tend() {
  const Time now = loop_.Now();
  for (auto& [endpoint, outbound] : links_) {
    if (outbound.link && now >= outbound.heard + kSilence) {
      outbound.link->Close();
      Lost(endpoint, "silent");
    }
    if (!outbound.link) {
      if (now >= outbound.next_dial) {
        Dial(endpoint, outbound);
      }
    } else if (outbound.link->connected()) {
      outbound.link->Send(handlers_.hello());
    }
  }
}

void KeeperLinks::Dial(const world::Endpoint& endpoint, Outbound& outbound) {
  outbound.heard = loop_.Now();
  outbound.number = next_number_++;
  outbound.link = net::FrameLink::Connect(
      loop_, endpoint,
      {[this, endpoint] { links_[endpoint].link->Send(handlers_.hello()); },
       [this, endpoint](wire::FrameType type, std::string_view payload) {
         OnFrame(endpoint, type, payload);
       },
       [this, endpoint](const std::string& why) { Lost(endpoint, why); },
       nullptr},
      kKeeperPayloadBytes);
}

void KeeperLinks::OnFrame(const world::Endpoint& endpoint,
                          wire::FrameType type,
                          std::string_view payload) {
  Outbound& outbound = links_[endpoint];
  outbound.heard = loop_.Now();
  if (type != wire::KeeperHello::kType) {
    handlers_.on_frame(type, payload);
    return;
  }
  outbound.hello = wire::Decode<wire::KeeperHello>(payload);
  outbound.reported = false;
  // Passes a copy, as the handler may remove the link.
  handlers_.on_hello(endpoint, wire::KeeperHello(*outbound.hello));
}

void KeeperLinks::Lost(const world::Endpoint& endpoint,
                       const std::string& why) {
  Outbound& outbound = links_[endpoint];
  if (!std::exchange(outbound.reported, true)) {
    LogEvent(kKeeperLinkLost,
             {{"keeper", world::ToString(endpoint)}, {"why", why}});
  }
  outbound.hello.reset();
  outbound.link.reset();
  outbound.next_dial = loop_.Now() + kRedial;
}

}  // namespace ibisvalve::control
