#include "world/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace ibisvalve::world {
namespace {

bool IsIpAddress(const std::string& text) {
  unsigned char buffer[sizeof(in6_addr)];
  return inet_pton(AF_INET, text.c_str(), buffer) == 1 ||
         inet_pton(AF_INET6, text.c_str(), buffer) == 1;
}

}  // namespace

std::string ToString(const Endpoint& endpoint) {
  const bool v6 = endpoint.ip.find(':') != std::string::npos;
  const std::string host = v6 ? "[" + endpoint.ip + "]" : endpoint.ip;
  return host + ":" + std::to_string(endpoint.port);
}

std::optional<Endpoint> ParseEndpoint(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  uint16_t port = 0;
  const char* begin = text.data() + colon + 1;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(begin, end, port);
  if (error != std::errc() || stop != end || begin == end ||
      !IsIpAddress(host)) {
    return std::nullopt;
  }
  return Endpoint{host, port};
}

}  // namespace ibisvalve::world
