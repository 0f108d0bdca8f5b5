#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "net/event_loop.h"
#include "world/world.h"

struct event;

namespace ibisvalve::net {

/// A UDP socket bound to one endpoint.
class DatagramSocket {
 public:
  /// Called for each datagram received; `bytes` is valid during the call.
  using Handler =
      std::function<void(const world::Endpoint& from, std::string_view bytes)>;

  /// Binds to `local`; port 0 selects a free port. Throws SystemError.
  DatagramSocket(EventLoop& loop,
                 const world::Endpoint& local,
                 Handler on_datagram);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  /// Sends one datagram. Errors are not reported: a datagram that the system
  /// rejects is lost like one that the network drops.
  void Send(const world::Endpoint& to, std::string_view bytes);
  /// Returns the bound address, with the actual port.
  world::Endpoint local() const;

 private:
  void OnReadable();

  Handler on_datagram_;
  int fd_ = -1;
  event* event_ = nullptr;
};

}  // namespace ibisvalve::net
