#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "net/event_loop.h"
#include "world/world.h"

struct event;

namespace ibisvalve::net {

/// A UDP socket at one endpoint.
class DatagramSocket {
 public:
  /// Told of each datagram; `bytes` is valid during the call.
  using Handler =
      std::function<void(const world::Endpoint& from, std::string_view bytes)>;

  /// Binds to `local`; port 0 picks a free one. Throws SystemError.
  DatagramSocket(EventLoop& loop,
                 const world::Endpoint& local,
                 Handler on_datagram);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  /// Sends one datagram; like the network, it may lose it without a word.
  void Send(const world::Endpoint& to, std::string_view bytes);
  /// Returns where it is bound, with the port that was picked.
  world::Endpoint local() const;

 private:
  void OnReadable();

  Handler on_datagram_;
  int fd_ = -1;
  event* event_ = nullptr;
};

}  // namespace ibisvalve::net
