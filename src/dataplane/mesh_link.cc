#include "dataplane/mesh_link.h"

#include <algorithm>
#include <utility>

namespace ibisvalve::dataplane {
namespace {

// Number of heartbeats within the duration that counts as silence.
constexpr int kPingsPerSilence = 4;
// Bytes on their way from which there is a backlog. Less than that, such as
// heartbeats and small requests, the host of a stopped process receives as
// well.
constexpr uint64_t kMinBacklogBytes = 64 << 10;

}  // namespace

MeshLink::MeshLink(net::EventLoop& loop,
                   const world::Endpoint& remote,
                   const wire::MeshHello& hello,
                   policy::SilenceBound& silence,
                   Handlers handlers)
    : loop_(loop),
      silence_(silence),
      handlers_(std::move(handlers)),
      idle_since_(loop.Now()),
      opened_at_(loop.Now()),
      silence_timer_(loop, [this] { CheckSilence(); }) {
  link_ = net::FrameLink::Connect(
      loop, remote,
      {[this] {
         was_connected_ = true;
         last_received_ = loop_.Now();
         silence_.OnRoundTrip(last_received_ - opened_at_);
       },
       [this](wire::FrameType type, std::string_view payload) {
         OnFrame(type, payload);
       },
       [this](const std::string& why) {
         const auto on_failed =
             handlers_.on_failed;  // the call may destroy *this
         const LinkFailure refused = link_->refused()
                                         ? LinkFailure::kRefused
                                         : LinkFailure::kNotConnected;
         on_failed(was_connected_ ? LinkFailure::kClosed : refused, why);
       },
       nullptr});
  link_->Send(hello);
}

void MeshLink::BeginAttempt() {
  if (in_flight_++ == 0) {
    last_received_ = last_check_ = loop_.Now();
    silence_timer_.StartPeriodic(silence_.min() / kPingsPerSilence);
  }
}

void MeshLink::EndAttempt() {
  if (--in_flight_ == 0) {
    idle_since_ = loop_.Now();
    silence_timer_.Stop();
  }
}

void MeshLink::OnFrame(wire::FrameType type, std::string_view payload) {
  last_received_ = loop_.Now();
  switch (type) {
    case wire::MeshHello::kType:
      handlers_.on_hello(wire::Decode<wire::MeshHello>(payload));
      return;
    case wire::AnswerHead::kType:
      handlers_.on_reply(wire::Decode<wire::AnswerHead>(payload));
      return;
    case wire::AnswerPart::kType:
      handlers_.on_reply(wire::Decode<wire::AnswerPart>(payload));
      return;
    case wire::AttemptFailed::kType:
      handlers_.on_reply(wire::Decode<wire::AttemptFailed>(payload));
      return;
    case wire::AttemptRunning::kType:
      handlers_.on_reply(wire::Decode<wire::AttemptRunning>(payload));
      return;
    case wire::Credit::kType:
      handlers_.on_reply(wire::Decode<wire::Credit>(payload));
      return;
    case wire::LoadNotice::kType:
      handlers_.on_load(wire::Decode<wire::LoadNotice>(payload).hint);
      return;
    case wire::ActiveFile::kType:
      handlers_.on_file(wire::Decode<wire::ActiveFile>(payload));
      return;
    case wire::CrashSyncReply::kType:
      handlers_.on_crash_sync(wire::Decode<wire::CrashSyncReply>(payload));
      return;
    case wire::Pong::kType:
      OnPong(wire::Decode<wire::Pong>(payload));
      return;
    default:
      throw wire::WireError("unexpected frame type from a gate");
  }
}

void MeshLink::OnPong(const wire::Pong& pong) {
  if (measured_ping_ != 0 && pong.number >= measured_ping_) {
    silence_.OnRoundTrip(loop_.Now() - measured_since_);
    measured_ping_ = 0;
  }
  handlers_.on_pong(pong);
}

void MeshLink::CheckSilence() {
  const Time now = loop_.Now();
  // A late check means that this process was suspended, so frames that arrived
  // in the meantime may not have been read yet.
  if (now - last_check_ > 2 * silence_.min() / kPingsPerSilence) {
    last_received_ = now;
    measured_ping_ = 0;
  }
  last_check_ = now;
  // A large frame that is still arriving shows that the link works.
  if (link_->arrived_bytes() != arrived_bytes_) {
    arrived_bytes_ = link_->arrived_bytes();
    last_received_ = now;
  }
  // So does a backlog that is being received. Heartbeats wait behind it.
  if (BacklogMoves()) {
    last_received_ = now;
  }
  const Duration bound = silence_.bound();
  if (now - last_received_ >= bound) {
    silence_.OnSilent();
    const auto on_failed = handlers_.on_failed;  // the call may destroy *this
    on_failed(
        was_connected_ ? LinkFailure::kSilent : LinkFailure::kNotConnected,
        "silent");
    return;
  }
  if (now - std::max(last_received_, last_ping_) >= bound / kPingsPerSilence) {
    SendPing(now);
  }
}

// Returns whether a part of a backlog has been delivered since the last check.
bool MeshLink::BacklogMoves() {
  const uint64_t sent = link_->sent_bytes();
  if (sent - delivered_bytes_ < kMinBacklogBytes) {
    return false;
  }
  const uint64_t before =
      std::exchange(delivered_bytes_, link_->delivered_bytes());
  const bool had_backlog =
      std::exchange(has_backlog_, sent - delivered_bytes_ >= kMinBacklogBytes);
  return had_backlog && delivered_bytes_ != before;
}

void MeshLink::SendPing(Time now) {
  ++pings_;
  last_ping_ = now;
  if (measured_ping_ == 0) {
    measured_ping_ = pings_;
    measured_since_ = now;
  }
  link_->Send(wire::Ping{pings_});
}

}  // namespace ibisvalve::dataplane
