#pragma once

#include <sys/socket.h>

#include "world/world.h"

namespace ibisvalve::net {

/// An endpoint in the representation of the socket system calls.
struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t length = 0;

  const sockaddr* get() const {
    return reinterpret_cast<const sockaddr*>(&storage);
  }
  sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
};

/// Converts `endpoint`. Throws std::invalid_argument if its `ip` is not a
/// numeric IP address.
SocketAddress ToSocketAddress(const world::Endpoint& endpoint);

/// Converts a socket address to an endpoint.
world::Endpoint FromSocketAddress(const SocketAddress& address);

/// Returns the endpoint that the socket `fd` is bound to. Throws SystemError.
world::Endpoint LocalEndpoint(int fd);

}  // namespace ibisvalve::net
