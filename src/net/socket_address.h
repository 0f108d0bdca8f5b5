#pragma once

#include <sys/socket.h>

#include "world/world.h"

namespace ibisvalve::net {

/// An endpoint in the form that the socket calls take.
struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t length = 0;

  const sockaddr* get() const {
    return reinterpret_cast<const sockaddr*>(&storage);
  }
  sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
};

/// Converts `endpoint`; throws std::invalid_argument when its ip is no IP
/// number.
SocketAddress ToSocketAddress(const world::Endpoint& endpoint);

/// Converts back.
world::Endpoint FromSocketAddress(const SocketAddress& address);

/// Returns the endpoint that the socket `fd` is bound to; throws SystemError.
world::Endpoint LocalEndpoint(int fd);

}  // namespace ibisvalve::net
