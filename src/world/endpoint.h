#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace ibisvalve::world {

/// An IP number and a port. Host names are not used.
struct Endpoint {
  std::string ip;  // IPv4 in dotted form, or IPv6 without brackets
  uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(ip, port);
  }
};

/// Returns "ip:port", with brackets around an IPv6 number.
std::string ToString(const Endpoint& endpoint);

/// Parses "ip:port"; returns nothing where `text` is not one.
std::optional<Endpoint> ParseEndpoint(const std::string& text);

}  // namespace ibisvalve::world
