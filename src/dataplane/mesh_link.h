#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "dataplane/gate_reply.h"
#include "net/net.h"
#include "wire/wire.h"

namespace ibisvalve::dataplane {

/// How a link came to be of no more use.
enum class LinkLoss : uint8_t {
  kNeverStood,  // no frame has left this node
  kRefused,     // the same, and the peer's host said that nobody listens
  kBroken,      // closed or reset
  kSilent,      // no byte came for too long
};

/// One connection from this node's ingress to the gate of another node. Sends
/// heartbeats while attempts are in flight on it, and tells when it is silent.
class MeshLink {
 public:
  struct Handlers {
    std::function<void(const wire::MeshHello& hello)> on_hello;
    std::function<void(GateReply reply)> on_reply;
    std::function<void(const wire::Pong& pong)> on_pong;
    std::function<void(const wire::LoadHint& hint)> on_load;
    std::function<void(const wire::PresentFile& file)> on_file;
    /// The link is of no more use: closed, or silent for too long. Destroys it.
    std::function<void(LinkLoss loss, const std::string& why)> on_down;
  };

  /// Starts to connect. `hello` is the first frame.
  MeshLink(net::EventLoop& loop,
           const world::Endpoint& remote,
           const wire::MeshHello& hello,
           Duration silence,
           Handlers handlers);
  MeshLink(const MeshLink&) = delete;
  MeshLink& operator=(const MeshLink&) = delete;

  template <typename Message>
  void Send(const Message& message) {
    link_->Send(message);
  }
  /// An attempt is in flight on this link from now on, or no longer.
  void BeginAttempt();
  void EndAttempt();

  size_t in_flight() const { return in_flight_; }
  /// Returns since when nothing has been in flight.
  Time idle_since() const { return idle_since_; }
  uint64_t sent_bytes() const { return link_->sent_bytes(); }
  uint64_t pings() const { return pings_; }

 private:
  void OnFrame(wire::FrameType type, std::string_view payload);
  void Watch();

  net::EventLoop& loop_;
  Duration silence_;
  Handlers handlers_;
  bool was_connected_ = false;
  size_t in_flight_ = 0;
  Time idle_since_;
  Time last_heard_;  // or the time from which silence counts
  Time last_watch_;
  uint64_t pings_ = 0;
  net::Timer watch_timer_;
  std::unique_ptr<net::FrameLink> link_;
};

}  // namespace ibisvalve::dataplane
