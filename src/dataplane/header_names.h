#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ibisvalve::dataplane {

/// What a target says of its load in an answer.
struct TargetLoad {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
  double slowdown = 1.0;  // how long work takes on its host now; 1 is usual

  auto operator<=>(const TargetLoad&) const = default;
};

/// Names of the headers that callers, nodes and targets use. An empty name
/// means that there is no such header.
struct HeaderNames {
  std::string deadline = "Ibis-Deadline-Ms";  // milliseconds left
  std::string request_id;  // the target repeats it in its answer
  std::string caller;      // to targets: service of the host that asks
  std::string target;      // to targets: only the one so identified may run it
  std::string not_run;     // of a target: there if it did not run the request
  std::string load;        // of a target
  std::string retry_after = "Retry-After";  // to callers: seconds
  /// Whether the Ibis-* headers travel.
  bool own = true;
  /// Reads the value of `load`.
  std::optional<TargetLoad> (*parse_load)(std::string_view) = nullptr;

  bool operator==(const HeaderNames&) const = default;
};

}  // namespace ibisvalve::dataplane
