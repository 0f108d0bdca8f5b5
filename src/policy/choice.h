#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <random>
#include <span>

#include "base/base.h"
#include "world/world.h"

namespace ibisvalve::policy {

/// Which chooser an ingress runs: the product's own or a baseline.
enum class ChoiceKind : uint8_t {
  kWeighed,
  kRandom,
  kRoundRobin,
  kLeastLocal,
  kTwoStale,
  kExpectedValue,  // by the request's own terms; see ExpectedValueChooser
};

/// One target that an ingress may choose, as the ingress knows it.
struct Candidate {
  NodeId id;
  ZoneName zone;
  bool same_zone = false;
  bool same_region = true;
  double share = 1.0;            // declared weight of the target's zone
  uint32_t local_in_flight = 0;  // from this ingress
  uint32_t slots = 1;            // declared
  // The last hint of the target's gate; `hint_time` is when it came.
  uint32_t hint_in_flight = 0;
  uint32_t hint_queued = 0;
  uint32_t hint_limit = 0;
  Duration hint_service{0};
  double hint_failures = 0;  // share, 0 to 1
  double slowdown = 1;   // that the target tells of its host, for the moment
  double pace = 1;       // of its runs against what was expected of them
  Duration hint_kib{0};  // to bring a KiB to its host; 0: not known
  std::optional<Time> hint_time;
  Time ready_since{};  // first seen ready, for cold start
  double ejected = 0;  // 0: in use; 1: ejected; between: re-entering

  auto operator<=>(const Candidate&) const = default;
};

/// Random numbers of decisions; seeded by the runtime.
using Random = std::mt19937_64;

/// Something that picks one of some candidates, which are not empty.
template <typename T>
concept Chooser = requires(T& chooser,
                           std::span<const Candidate> candidates,
                           Time now,
                           Random& random) {
  { chooser.Choose(candidates, now, random) } -> std::same_as<size_t>;
};

}  // namespace ibisvalve::policy
