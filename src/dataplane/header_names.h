#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ibisvalve::dataplane {

/// Load that a target reports with a response.
struct TargetLoad {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
  double slowdown = 1.0;  // factor by which its host stretches service times

  auto operator<=>(const TargetLoad&) const = default;
};

/// Names of the headers that callers, nodes and targets exchange. An empty name
/// disables the header.
struct HeaderNames {
  /// Time left until the deadline, in milliseconds.
  std::string deadline = "Ibis-Deadline-Ms";
  /// Request id, which the target repeats in its response.
  std::string request_id;
  /// Sent to targets: service of the caller.
  std::string caller;
  /// Sent to targets: identity of the only target that may run the request.
  std::string target;
  /// Sent by a target if it did not run the request.
  std::string not_run;
  /// Sent by a target: its load.
  std::string load;
  /// Sent by a target in need: the requests a second that it takes from all
  /// hosts together, as a decimal number.
  std::string rate_limit;
  /// Sent by a target that leaves, with the value 1.
  std::string leaving;
  /// Sent to targets: name of the caller's workspace.
  std::string workspace = "Ibis-Workspace";
  /// Sent by a target with its health: milliseconds for which it stays cold.
  std::string cold_left;
  /// Sent to callers: seconds to wait before a retry.
  std::string retry_after = "Retry-After";
  /// Whether the Ibis-* headers are sent.
  bool send_ibis_headers = true;
  /// Parses the value of `load`; returns nothing if it is malformed.
  std::optional<TargetLoad> (*parse_load)(std::string_view) = nullptr;

  bool operator==(const HeaderNames&) const = default;
};

}  // namespace ibisvalve::dataplane
