#include "control/keeper_links.h"

#include <utility>

#include "control/connect_timeout.h"
#include "control/events.h"

namespace ibisvalve::control {
namespace {

constexpr Duration kMaintenanceInterval = std::chrono::milliseconds(100);
constexpr Duration kSilenceTimeout = std::chrono::seconds(2);
constexpr Duration kReconnectDelay = std::chrono::milliseconds(150);

}  // namespace

KeeperLinks::KeeperLinks(net::EventLoop& loop, Handlers handlers)
    : loop_(loop),
      handlers_(std::move(handlers)),
      maintenance_timer_(loop, [this] { Maintain(); }) {
  maintenance_timer_.StartPeriodic(kMaintenanceInterval);
}

void KeeperLinks::SetEndpoints(const std::set<world::Endpoint>& endpoints) {
  std::erase_if(links_, [&](const auto& entry) {
    return !endpoints.contains(entry.first);
  });
  for (const world::Endpoint& endpoint : endpoints) {
    const auto [entry, inserted] = links_.try_emplace(endpoint);
    if (inserted) {
      Connect(endpoint, entry->second);
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
void KeeperLinks::Maintain() {
  const Time now = loop_.Now();
  for (auto& [endpoint, outbound] : links_) {
    const bool connecting = outbound.link && !outbound.link->connected();
    const Duration limit = connecting ? kKeeperConnectTimeout : kSilenceTimeout;
    if (outbound.link && now >= outbound.last_received + limit) {
      outbound.link->Close();
      OnLost(endpoint, connecting ? "no connection in time" : "silent");
    }
    if (!outbound.link) {
      if (now >= outbound.next_connect) {
        Connect(endpoint, outbound);
      }
    } else if (outbound.link->connected()) {
      outbound.link->Send(handlers_.hello());
    }
  }
}

void KeeperLinks::Connect(const world::Endpoint& endpoint, Outbound& outbound) {
  outbound.last_received = loop_.Now();
  outbound.number = next_number_++;
  outbound.link = net::FrameLink::Connect(
      loop_, endpoint,
      {[this, endpoint] {
         links_[endpoint].last_received = loop_.Now();
         links_[endpoint].link->Send(handlers_.hello());
       },
       [this, endpoint](wire::FrameType type, std::string_view payload) {
         OnFrame(endpoint, type, payload);
       },
       [this, endpoint](const std::string& reason) {
         OnLost(endpoint, reason);
       },
       nullptr},
      kMaxKeeperPayloadBytes);
}

void KeeperLinks::OnFrame(const world::Endpoint& endpoint,
                          wire::FrameType type,
                          std::string_view payload) {
  Outbound& outbound = links_[endpoint];
  outbound.last_received = loop_.Now();
  if (type != wire::KeeperHello::kType) {
    handlers_.on_frame(type, payload);
    return;
  }
  outbound.hello = wire::Decode<wire::KeeperHello>(payload);
  outbound.loss_logged = false;
  // Passes a copy, as the handler may remove the link.
  handlers_.on_hello(endpoint, wire::KeeperHello(*outbound.hello));
}

void KeeperLinks::OnLost(const world::Endpoint& endpoint,
                         const std::string& reason) {
  Outbound& outbound = links_[endpoint];
  if (!std::exchange(outbound.loss_logged, true)) {
    LogEvent(kKeeperLinkLost,
             {{"keeper", world::ToString(endpoint)}, {"why", reason}});
  }
  outbound.hello.reset();
  outbound.link.reset();
  outbound.next_connect = loop_.Now() + kReconnectDelay;
}

}  // namespace ibisvalve::control
