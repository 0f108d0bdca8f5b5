#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace ibisvalve::world {

/// An IP address and a port. Host names are not supported.
struct Endpoint {
  std::string ip;  // IPv4 in dotted-decimal form, or IPv6 without brackets
  uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(ip, port);
  }
};

/// Returns "ip:port", with brackets around an IPv6 address.
std::string ToString(const Endpoint& endpoint);

/// Parses "ip:port". Returns nullopt if `text` does not have this form or `ip`
/// is not an IP address.
std::optional<Endpoint> ParseEndpoint(const std::string& text);

}  // namespace ibisvalve::world
