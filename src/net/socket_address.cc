#include "net/socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cerrno>
#include <stdexcept>

namespace ibisvalve::net {

SocketAddress ToSocketAddress(const world::Endpoint& endpoint) {
  SocketAddress address;
  auto* v4 = reinterpret_cast<sockaddr_in*>(&address.storage);
  if (inet_pton(AF_INET, endpoint.ip.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(endpoint.port);
    address.length = sizeof(sockaddr_in);
    return address;
  }
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
  if (inet_pton(AF_INET6, endpoint.ip.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(endpoint.port);
    address.length = sizeof(sockaddr_in6);
    return address;
  }
  throw std::invalid_argument("\"" + endpoint.ip +
                              "\" is not a numeric IP address");
}

world::Endpoint FromSocketAddress(const SocketAddress& address) {
  char text[INET6_ADDRSTRLEN] = "";
  if (address.storage.ss_family == AF_INET) {
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(&address.storage);
    inet_ntop(AF_INET, &v4->sin_addr, text, sizeof(text));
    return world::Endpoint{text, ntohs(v4->sin_port)};
  }
  const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&address.storage);
  inet_ntop(AF_INET6, &v6->sin6_addr, text, sizeof(text));
  return world::Endpoint{text, ntohs(v6->sin6_port)};
}

world::Endpoint LocalEndpoint(int fd) {
  SocketAddress address;
  address.length = sizeof(address.storage);
  if (getsockname(fd, address.get(), &address.length) != 0) {
    throw SystemError("cannot get the local address of a socket", errno);
  }
  return FromSocketAddress(address);
}

}  // namespace ibisvalve::net
