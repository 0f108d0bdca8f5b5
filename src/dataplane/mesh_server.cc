#include "dataplane/mesh_server.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include "dataplane/events.h"

namespace ibisvalve::dataplane {
namespace {

// Limit for a frame between nodes, which holds at most one set of HTTP headers
// and one part of a body.
constexpr size_t kMaxMeshPayloadBytes = 256 << 10;

// The gate closes a silent link after this many times the silence that the
// ingress tolerates, so that the ingress has abandoned the link long before.
constexpr int kSilenceTimeoutsBeforeClose = 20;
constexpr Duration kMinCloseTimeout = std::chrono::seconds(5);
constexpr Duration kSilenceCheckInterval = std::chrono::seconds(1);

}  // namespace

MeshServer::MeshServer(
    net::EventLoop& loop,
    const PlaneSettings& settings,
    const FleetView& view,
    Gate& gate,
    std::function<std::optional<wire::ActiveFile>()> present_file)
    : loop_(loop),
      settings_(settings),
      view_(view),
      gate_(gate),
      present_file_(std::move(present_file)),
      silence_timer_(loop, [this] { CloseSilent(); }),
      listener_(loop, settings.mesh, [this](int fd) { Accept(fd); }) {
  silence_timer_.StartPeriodic(kSilenceCheckInterval);
}

MeshServer::~MeshServer() = default;

void MeshServer::Accept(int fd) {
  const uint64_t number = ++next_number_;
  Link& link = links_[number];
  link.last_received = loop_.Now();
  link.frames = net::FrameLink::Accept(
      loop_, fd,
      {nullptr,
       [this, number](wire::FrameType type, std::string_view payload) {
         OnFrame(number, type, payload);
       },
       [this, number](const std::string& why) { OnClosed(number, why); },
       nullptr},
      kMaxMeshPayloadBytes);
}

void MeshServer::OnFrame(uint64_t number,
                         wire::FrameType type,
                         std::string_view payload) {
  Link& link = links_.at(number);
  link.last_received = loop_.Now();
  if (!link.hello_received && type != wire::MeshHello::kType) {
    throw wire::WireError("the first frame on a mesh link is not a hello");
  }
  switch (type) {
    case wire::MeshHello::kType:
      OnHello(link, wire::Decode<wire::MeshHello>(payload));
      return;
    case wire::OpenAttempt::kType:
      OnOpen(number, link, wire::Decode<wire::OpenAttempt>(payload));
      return;
    case wire::BodyPart::kType:
      gate_.AddBody(wire::Decode<wire::BodyPart>(payload));
      return;
    case wire::CancelAttempt::kType:
      gate_.Cancel(wire::Decode<wire::CancelAttempt>(payload).id);
      return;
    case wire::Credit::kType:
      gate_.AddCredit(wire::Decode<wire::Credit>(payload));
      return;
    case wire::QueryAttempt::kType:
      gate_.Query(wire::Decode<wire::QueryAttempt>(payload),
                  ReplyPortFor(number));
      return;
    case wire::CrashNotice::kType:
      OnCrashNotice(link, wire::Decode<wire::CrashNotice>(payload));
      return;
    case wire::CrashSync::kType:
      link.frames->Send(
          gate_.crashes().ReplyTo(wire::Decode<wire::CrashSync>(payload)));
      return;
    case wire::LiftNotice::kType:
      gate_.crashes().Lift(wire::Decode<wire::LiftNotice>(payload).fingerprint);
      return;
    case wire::FetchFile::kType:
      wire::Decode<wire::FetchFile>(payload);
      if (const auto file = present_file_ ? present_file_() : std::nullopt) {
        link.frames->Send(*file);
      }
      return;
    case wire::Ping::kType:
      link.frames->Send(wire::Pong{wire::Decode<wire::Ping>(payload).number,
                                   view_.revision(), false, gate_.Hint()});
      return;
    default:
      throw wire::WireError("unexpected frame type from an ingress");
  }
}

void MeshServer::OnHello(Link& link, const wire::MeshHello& hello) {
  link.hello_received = true;
  link.peer = hello.node.value;
  link.frames->Send(
      wire::MeshHello{settings_.id, settings_.incarnation, view_.revision()});
}

// Takes the time that the attempt was on its way from the times left, which
// were right when it was sent.
// Replies with what this node knows to be cleared and the sender does not.
void MeshServer::OnCrashNotice(Link& link, const wire::CrashNotice& notice) {
  CrashTracker& crashes = gate_.crashes();
  crashes.OnNotice(notice);
  std::vector<world::CrashRecord> corrections =
      crashes.Corrections(notice.records);
  if (!corrections.empty()) {
    link.frames->Send(wire::CrashSyncReply{crashes.SyncDigest(),
                                           std::move(corrections), true});
  }
}

void MeshServer::OnOpen(uint64_t number, Link& link, wire::OpenAttempt open) {
  const auto delay = static_cast<uint64_t>(
      link.transit.OnArrival(open.sent_us, BootMicros()).count());
  open.remaining_us -= std::min(open.remaining_us, delay);
  open.objective_us -= std::min(open.objective_us, delay);
  gate_.Open(open, ReplyPortFor(number));
}

void MeshServer::OnClosed(uint64_t number, const std::string& why) {
  const auto found = links_.find(number);
  if (found == links_.end()) {
    return;
  }
  if (!found->second.hello_received) {
    LogEvent(kMeshLinkRefused, {{"why", why}});
  }
  // A callback of the link may be on the stack, so the link is destroyed later,
  // from the event loop.
  std::shared_ptr<net::FrameLink> gone = std::move(found->second.frames);
  loop_.Post([gone] {});
  links_.erase(found);
  gate_.OnLinkLost(number);
}

void MeshServer::CloseSilent() {
  const Duration limit = std::max(
      kMinCloseTimeout, settings_.link_silence * kSilenceTimeoutsBeforeClose);
  std::vector<uint64_t> silent;
  for (const auto& [number, link] : links_) {
    if (loop_.Now() - link.last_received > limit &&
        (!link.hello_received || gate_.HasAttemptsOnLink(number))) {
      silent.push_back(number);
    }
  }
  for (const uint64_t number : silent) {
    links_.at(number).frames->Close();
    OnClosed(number, "silent");
  }
}

void MeshServer::Broadcast(const wire::LoadNotice& notice) {
  const std::string frame = wire::EncodeFrame(notice);
  for (const auto& [number, link] : links_) {
    if (link.hello_received) {
      link.frames->SendRaw(frame);
    }
  }
}

ReplyPort MeshServer::ReplyPortFor(uint64_t number) {
  return ReplyPort{
      number, [this, number](const GateReply& reply) {
        const auto link = links_.find(number);
        if (link == links_.end()) {
          return;
        }
        std::visit(
            [&](const auto& message) { link->second.frames->Send(message); },
            reply);
      }};
}

}  // namespace ibisvalve::dataplane
