#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <random>
#include <span>

#include "base/base.h"
#include "world/world.h"

namespace ibisvalve::policy {

/// Load-balancing algorithm of an ingress. Random, round-robin, least-local and
/// two-stale are baselines for comparison.
enum class ChoiceKind : uint8_t {
  kWeighed,
  kRandom,
  kRoundRobin,
  kLeastLocal,
  kTwoStale,
  kExpectedValue,  // by objective and size; see ExpectedValueChooser
};

/// State of one target that an ingress can choose, as known to the ingress.
struct Candidate {
  NodeId id;
  ZoneName zone;
  bool same_zone = false;
  bool same_region = true;
  double share = 1.0;            // declared weight of the target's zone
  uint32_t local_in_flight = 0;  // sent by this ingress
  uint32_t slots = 1;            // declared
  // Last hint from the target's gate, received at `hint_time`.
  uint32_t hint_in_flight = 0;
  uint32_t hint_queued = 0;
  uint32_t hint_limit = 0;
  Duration hint_service_time{0};
  double hint_failure_share = 0;  // share of failed runs, 0 to 1
  double slowdown = 1;  // of the target's host, as reported by the target
  double pace = 1;      // duration of its runs over the expected one
  Duration hint_transfer_per_kib{
      0};  // per KiB to the target's host; 0: unknown
  std::optional<Time> hint_time;
  Time ready_since{};  // first seen ready; begins the slow start
  double ejected = 0;  // 0: in use; 1: ejected; between: re-admission

  auto operator<=>(const Candidate&) const = default;
};

/// Random number generator for load-balancing decisions; seeded by the caller.
using Random = std::mt19937_64;

/// Load-balancing algorithm: Choose() returns the index of one of `candidates`,
/// which must not be empty.
template <typename T>
concept Chooser = requires(T& chooser,
                           std::span<const Candidate> candidates,
                           Time now,
                           Random& random) {
  { chooser.Choose(candidates, now, random) } -> std::same_as<size_t>;
};

}  // namespace ibisvalve::policy
