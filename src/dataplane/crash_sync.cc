#include "dataplane/crash_sync.h"

#include <functional>
#include <vector>

namespace ibisvalve::dataplane {
namespace {

constexpr Duration kInterval = std::chrono::seconds(1);
// A node that has just started knows no quarantine: it asks more often until a
// peer replies.
constexpr Duration kStartInterval = std::chrono::milliseconds(20);
// A node that gets no reply for this long is on its own.
constexpr Duration kStartPeriod = std::chrono::seconds(1);

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
  timer_.StartOnce(settled() ? kInterval : kStartInterval);
}

bool CrashSync::settled() const {
  return replied_ || loop_.Now() - started_ >= kStartPeriod;
}

void CrashSync::OnReply(const NodeId& peer, const wire::CrashSyncReply& reply) {
  replied_ |= !reply.correction;
  const wire::CrashNotice missing = crashes_.OnSyncReply(reply);
  if (!missing.records.empty()) {
    gates_.SendToPeer(peer, missing);
  }
}

}  // namespace ibisvalve::dataplane
