#include "dataplane/mesh_link.h"

#include <utility>

namespace ibisvalve::dataplane {
namespace {

// Number of times that a link is checked within the duration that counts as
// silence.
constexpr int kWatchesPerSilence = 4;

}  // namespace

MeshLink::MeshLink(net::EventLoop& loop,
                   const world::Endpoint& remote,
                   const wire::MeshHello& hello,
                   Duration silence,
                   Handlers handlers)
    : loop_(loop),
      silence_(silence),
      handlers_(std::move(handlers)),
      idle_since_(loop.Now()),
      watch_timer_(loop, [this] { Watch(); }) {
  link_ = net::FrameLink::Connect(
      loop, remote,
      {[this] {
         was_connected_ = true;
         last_heard_ = loop_.Now();
       },
       [this](wire::FrameType type, std::string_view payload) {
         OnFrame(type, payload);
       },
       [this](const std::string& why) {
         const auto on_down = handlers_.on_down;  // the call may destroy *this
         const LinkLoss refused =
             link_->refused() ? LinkLoss::kRefused : LinkLoss::kNeverStood;
         on_down(was_connected_ ? LinkLoss::kBroken : refused, why);
       },
       nullptr});
  link_->Send(hello);
}

void MeshLink::BeginAttempt() {
  if (in_flight_++ == 0) {
    last_heard_ = last_watch_ = loop_.Now();
    watch_timer_.StartPeriodic(silence_ / kWatchesPerSilence);
  }
}

void MeshLink::EndAttempt() {
  if (--in_flight_ == 0) {
    idle_since_ = loop_.Now();
    watch_timer_.Stop();
  }
}

void MeshLink::OnFrame(wire::FrameType type, std::string_view payload) {
  last_heard_ = loop_.Now();
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
    case wire::PresentFile::kType:
      handlers_.on_file(wire::Decode<wire::PresentFile>(payload));
      return;
    case wire::Pong::kType:
      handlers_.on_pong(wire::Decode<wire::Pong>(payload));
      return;
    default:
      throw wire::WireError("unexpected frame type from a gate");
  }
}

void MeshLink::Watch() {
  const Time now = loop_.Now();
  const Duration interval = silence_ / kWatchesPerSilence;
  // A late check means that this process was suspended, so frames that arrived
  // in the meantime may not have been read yet.
  if (now - last_watch_ > 2 * interval) {
    last_heard_ = now;
  }
  last_watch_ = now;
  if (now - last_heard_ >= silence_) {
    const auto on_down = handlers_.on_down;  // the call may destroy *this
    on_down(was_connected_ ? LinkLoss::kSilent : LinkLoss::kNeverStood,
            "silent");
    return;
  }
  if (now - last_heard_ >= interval) {
    link_->Send(wire::Ping{++pings_});
  }
}

}  // namespace ibisvalve::dataplane
