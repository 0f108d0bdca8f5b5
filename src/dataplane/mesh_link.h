#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "dataplane/gate_reply.h"
#include "net/net.h"
#include "policy/policy.h"
#include "wire/wire.h"

namespace ibisvalve::dataplane {

/// How a mesh link failed.
enum class LinkFailure : uint8_t {
  kNotConnected,  // never connected, so no frame reached the peer
  kRefused,       // never connected: the peer's host refused the connection
  kClosed,        // closed or reset after it was connected
  kSilent,        // no frame was received for too long
};

/// One connection from this node's ingress to the gate of another node. While
/// attempts are in flight on it, sends heartbeats and detects silence.
class MeshLink {
 public:
  struct Handlers {
    std::function<void(const wire::MeshHello& hello)> on_hello;
    std::function<void(GateReply reply)> on_reply;
    std::function<void(const wire::Pong& pong)> on_pong;
    std::function<void(const wire::LoadHint& hint)> on_load;
    std::function<void(const wire::ActiveFile& file)> on_file;
    std::function<void(const wire::CrashSyncReply& reply)> on_crash_sync;
    /// Called once when the link is closed or has been silent for too long.
    /// Must destroy the link. `why` is for logs.
    std::function<void(LinkFailure failure, const std::string& why)> on_failed;
  };

  /// Starts connecting to `remote` and sends `hello` as the first frame. The
  /// link fails if no byte is received, and none of a backlog is delivered, for
  /// `silence.bound()` while attempts are in flight. `silence` must outlive the
  /// link; it learns the round-trip times of this link and of later ones to the
  /// same peer.
  MeshLink(net::EventLoop& loop,
           const world::Endpoint& remote,
           const wire::MeshHello& hello,
           policy::SilenceBound& silence,
           Handlers handlers);
  MeshLink(const MeshLink&) = delete;
  MeshLink& operator=(const MeshLink&) = delete;

  template <typename Message>
  void Send(const Message& message) {
    link_->Send(message);
  }
  /// Records that an attempt on this link started or ended.
  void BeginAttempt();
  void EndAttempt();

  size_t in_flight() const { return in_flight_; }
  /// Returns when the last attempt on this link ended.
  Time idle_since() const { return idle_since_; }
  uint64_t sent_bytes() const { return link_->sent_bytes(); }
  uint64_t pings() const { return pings_; }

 private:
  void OnFrame(wire::FrameType type, std::string_view payload);
  void OnPong(const wire::Pong& pong);
  void CheckSilence();
  bool BacklogMoves();
  void SendPing(Time now);

  net::EventLoop& loop_;
  policy::SilenceBound& silence_;
  Handlers handlers_;
  bool was_connected_ = false;
  size_t in_flight_ = 0;
  Time idle_since_;
  Time opened_at_;
  // Last sign of life, or start of the silence measurement.
  Time last_received_;
  // At the last check.
  uint64_t arrived_bytes_ = 0;
  uint64_t delivered_bytes_ = 0;
  bool has_backlog_ = false;
  Time last_check_;
  uint64_t pings_ = 0;
  Time last_ping_;
  // Heartbeat whose round trip is being measured; 0: none.
  uint64_t measured_ping_ = 0;
  Time measured_since_;
  net::Timer silence_timer_;
  std::unique_ptr<net::FrameLink> link_;
};

}  // namespace ibisvalve::dataplane
