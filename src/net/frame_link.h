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

/// One TCP connection that carries frames both ways. A malformed frame closes
/// it. All callbacks run on the loop; each may destroy the link.
class FrameLink {
 public:
  /// What the owner is told.
  struct Handlers {
    /// The connection stands (outgoing links only).
    std::function<void()> on_connected;
    /// A whole frame has come; `payload` is valid during the call. A WireError
    /// thrown from here closes the link.
    std::function<void(wire::FrameType type, std::string_view payload)>
        on_frame;
    /// The link is closed for good; `why` is for logs. Not called after Close.
    std::function<void(const std::string& why)> on_closed;
    /// All bytes given to Send have been handed to the system.
    std::function<void()> on_drained;
  };

  /// Starts to connect to `remote`.
  static std::unique_ptr<FrameLink> Connect(
      EventLoop& loop,
      const world::Endpoint& remote,
      Handlers handlers,
      size_t max_payload = wire::kMaxPayloadBytes);
  /// Takes over the accepted socket `fd`.
  static std::unique_ptr<FrameLink> Accept(
      EventLoop& loop,
      int fd,
      Handlers handlers,
      size_t max_payload = wire::kMaxPayloadBytes);
  ~FrameLink();
  FrameLink(const FrameLink&) = delete;
  FrameLink& operator=(const FrameLink&) = delete;

  /// Sends `message` as one frame. Does nothing on a closed link.
  template <typename Message>
  void Send(const Message& message) {
    SendRaw(wire::EncodeFrame(message));
  }
  /// Sends bytes that are one whole frame.
  void SendRaw(const std::string& frame);
  /// Closes at once; bytes not sent yet are lost.
  void Close();
  /// Stops or resumes reading, so that the peer is slowed down.
  void SetReading(bool reading);
  /// Returns how many bytes wait to be sent.
  size_t pending_bytes() const;
  /// Returns whether the link is connected and not closed.
  bool connected() const { return connected_; }
  /// Returns whether the peer's host refused the connection: nobody listens.
  bool refused() const { return refused_; }
  /// Returns whether the link is closed.
  bool closed() const { return bufferevent_ == nullptr; }
  /// Returns how many bytes came in and went out so far.
  uint64_t received_bytes() const { return received_bytes_; }
  uint64_t sent_bytes() const { return sent_bytes_; }

 private:
  FrameLink(EventLoop& loop, int fd, Handlers handlers, size_t max_payload);

  void OnReadable();
  void OnEvent(int16_t what);
  bool DeliverOne();
  void Fail(const std::string& why);

  Handlers handlers_;
  size_t max_payload_;
  bufferevent* bufferevent_ = nullptr;
  bool connected_ = false;
  bool refused_ = false;
  uint64_t received_bytes_ = 0;
  uint64_t sent_bytes_ = 0;
  // Set to false by the destructor, for callbacks that destroy the link.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Accepts TCP connections at one endpoint.
class Listener {
 public:
  /// Listens at `local`; port 0 picks a free one. Throws SystemError.
  Listener(EventLoop& loop,
           const world::Endpoint& local,
           std::function<void(int fd)> on_accept);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /// Returns where it listens, with the port that was picked.
  world::Endpoint local() const;

 private:
  std::function<void(int)> on_accept_;
  evconnlistener* listener_;
};

}  // namespace ibisvalve::net
