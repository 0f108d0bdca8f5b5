#include "dataplane/mesh_link.h"

#include <utility>

namespace ibisvalve::dataplane {
namespace {

// Number of times that a link is checked within the duration that counts as
// silence.
constexpr int kChecksPerSilence = 4;

}  // namespace

MeshLink::MeshLink(net::EventLoop& loop,
                   const world::Endpoint& remote,
                   const wire::MeshHello& hello,
                   Duration silence_timeout,
                   Handlers handlers)
    : loop_(loop),
      silence_timeout_(silence_timeout),
      handlers_(std::move(handlers)),
      idle_since_(loop.Now()),
      silence_timer_(loop, [this] { CheckSilence(); }) {
  link_ = net::FrameLink::Connect(
      loop, remote,
      {[this] {
         was_connected_ = true;
         last_received_ = loop_.Now();
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
    silence_timer_.StartPeriodic(silence_timeout_ / kChecksPerSilence);
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
    case wire::Pong::kType:
      handlers_.on_pong(wire::Decode<wire::Pong>(payload));
      return;
    default:
      throw wire::WireError("unexpected frame type from a gate");
  }
}

void MeshLink::CheckSilence() {
  const Time now = loop_.Now();
  const Duration interval = silence_timeout_ / kChecksPerSilence;
  // A late check means that this process was suspended, so frames that arrived
  // in the meantime may not have been read yet.
  if (now - last_check_ > 2 * interval) {
    last_received_ = now;
  }
  last_check_ = now;
  if (now - last_received_ >= silence_timeout_) {
    const auto on_failed = handlers_.on_failed;  // the call may destroy *this
    on_failed(
        was_connected_ ? LinkFailure::kSilent : LinkFailure::kNotConnected,
        "silent");
    return;
  }
  if (now - last_received_ >= interval) {
    link_->Send(wire::Ping{++pings_});
  }
}

}  // namespace ibisvalve::dataplane
