#include "dataplane/crash_sync.h"

#include <functional>
#include <vector>

namespace ibisvalve::dataplane {
namespace {

constexpr Duration kInterval = std::chrono::seconds(1);
// A node that has just started knows no quarantine: it asks more often until a
// peer replies.
constexpr Duration kStartInterval = std::chrono::milliseconds(50);
constexpr Duration kStartPeriod = std::chrono::seconds(5);

}  // namespace

CrashSync::CrashSync(net::EventLoop& loop,
                     const PlaneSettings& settings,
                     const FleetView& view,
                     CrashTracker& crashes,
                     GateClient& gates)
    : loop_(loop),
      settings_(settings),
      view_(view),
      crashes_(crashes),
      gates_(gates),
      started_(loop.Now()),
      // Spreads the nodes over their peers.
      next_peer_(std::hash<NodeId>()(settings.id)),
      timer_(loop, [this] { AskNextPeer(); }) {
  timer_.StartOnce(Duration(0));
}

void CrashSync::AskNextPeer() {
  std::vector<NodeId> peers;
  for (const auto& [id, member] : view_.members()) {
    if (id != settings_.id && world::IsRunning(member) &&
        !member.mesh.ip.empty()) {
      peers.push_back(id);
    }
  }
  if (!peers.empty()) {
    gates_.SendToPeer(peers[next_peer_++ % peers.size()],
                      wire::CrashSync{crashes_.SyncDigest()});
  }
  const bool starting = !replied_ && loop_.Now() - started_ < kStartPeriod;
  timer_.StartOnce(starting ? kStartInterval : kInterval);
}

void CrashSync::OnReply(const NodeId& peer, const wire::CrashSyncReply& reply) {
  replied_ = true;
  const wire::CrashNotice missing = crashes_.OnSyncReply(reply);
  if (!missing.records.empty()) {
    gates_.SendToPeer(peer, missing);
  }
}

}  // namespace ibisvalve::dataplane
