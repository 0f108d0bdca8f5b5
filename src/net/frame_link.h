#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/event_loop.h"
#include "wire/wire.h"
#include "world/world.h"

struct bufferevent;
struct evconnlistener;

namespace ibisvalve::net {

/// A TCP connection that carries frames in both directions. A malformed frame
/// closes it. All callbacks run on the loop thread, and each may destroy the
/// link.
class FrameLink {
 public:
  /// Callbacks to the owner of the link.
  struct Handlers {
    /// The connection is established (outgoing links only).
    std::function<void()> on_connected;
    /// A complete frame has been received. `payload` is valid during the call.
    /// A WireError thrown by this callback closes the link.
    std::function<void(wire::FrameType type, std::string_view payload)>
        on_frame;
    /// The link has been closed by the peer or an error and cannot be reused.
    /// `why` is meant for logs. Not called after Close.
    std::function<void(const std::string& why)> on_closed;
    /// All bytes passed to Send have been written to the socket.
    std::function<void()> on_drained;
  };

  /// Starts connecting to `remote`. A failure is reported by on_closed, never
  /// during this call.
  static std::unique_ptr<FrameLink> Connect(
      EventLoop& loop,
      const world::Endpoint& remote,
      Handlers handlers,
      size_t max_payload = wire::kMaxPayloadBytes);
  /// Takes ownership of the accepted socket `fd`.
  static std::unique_ptr<FrameLink> Accept(
      EventLoop& loop,
      int fd,
      Handlers handlers,
      size_t max_payload = wire::kMaxPayloadBytes);
  ~FrameLink();
  FrameLink(const FrameLink&) = delete;
  FrameLink& operator=(const FrameLink&) = delete;

  /// Sends `message` as one frame. Has no effect on a closed link.
  template <typename Message>
  void Send(const Message& message) {
    SendRaw(wire::EncodeFrame(message));
  }
  /// Sends `frame`, one complete encoded frame. Has no effect on a closed link.
  void SendRaw(const std::string& frame);
  /// Closes the connection immediately and discards unsent bytes.
  void Close();
  /// Stops or resumes reading. While reading is stopped, TCP flow control slows
  /// the peer down.
  void SetReading(bool reading);
  /// Returns the number of bytes in the send buffer.
  size_t pending_bytes() const;
  /// Returns the number of bytes passed to Send and SendRaw of which the peer's
  /// host has confirmed the receipt. Where the system does not tell, of those
  /// that the system has taken.
  uint64_t delivered_bytes() const;
  /// Returns whether the link is connected and not closed.
  bool connected() const { return connected_; }
  /// Returns whether the connection attempt failed with ECONNREFUSED, which
  /// means that no process listens on the remote endpoint.
  bool refused() const { return refused_; }
  /// Returns whether the link is closed.
  bool closed() const { return bufferevent_ == nullptr; }
  /// Returns the number of bytes that have arrived, incomplete frames included.
  uint64_t arrived_bytes() const;
  /// Returns the number of bytes received in complete frames.
  uint64_t received_bytes() const { return received_bytes_; }
  /// Returns the number of bytes in the frames passed to Send and SendRaw.
  uint64_t sent_bytes() const { return sent_bytes_; }

 private:
  FrameLink(EventLoop& loop, int fd, Handlers handlers, size_t max_payload);

  void OnReadable();
  void OnEvent(int16_t what);
  bool DeliverNextFrame();
  void Fail(const std::string& why);

  Handlers handlers_;
  size_t max_payload_;
  bufferevent* bufferevent_ = nullptr;
  bool connected_ = false;
  bool refused_ = false;
  uint64_t received_bytes_ = 0;
  uint64_t sent_bytes_ = 0;
  // Set to false by the destructor, so that code that runs after a callback can
  // detect that the callback destroyed the link.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Accepts TCP connections at one endpoint.
class Listener {
 public:
  /// Listens at `local`; port 0 selects a free port. Throws SystemError.
  Listener(EventLoop& loop,
           const world::Endpoint& local,
           std::function<void(int fd)> on_accept);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /// Returns the listening address, with the actual port.
  world::Endpoint local() const;

 private:
  std::function<void(int)> on_accept_;
  evconnlistener* listener_;
};

}  // namespace ibisvalve::net
