#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "dataplane/target_registry.h"
#include "net/net.h"
#include "policy/policy.h"
#include "wire/wire.h"
#include "world/world.h"

namespace ibisvalve::dataplane {

/// State of ingress and gate, for status pages.
struct PlaneStatus {
  world::TargetState target = world::TargetState::kNone;
  uint32_t slots = 0;
  bool draining = false;
  uint64_t gate_in_flight = 0;
  wire::LoadHint gate_hint;
  uint64_t ingress_in_flight = 0;
  uint64_t links = 0;
  uint64_t memory_used = 0;   // bytes
  uint64_t memory_limit = 0;  // bytes

  auto operator<=>(const PlaneStatus&) const = default;
};

/// Returns `status` as a JSON object.
std::string ToJson(const PlaneStatus& status);

/// Parses {"state":"ready|draining|starting","slots":N}; throws InvalidInput
/// with every fault.
TargetAnnouncement ParseAnnouncement(const std::string& json);

/// What the pages do.
struct PageActions {
  std::function<void(bool draining)> set_draining;
  std::function<void(const TargetAnnouncement& announcement)> announce;
  std::function<std::vector<policy::QuarantineEntry>()> quarantined;
  /// Returns whether there was such a quarantine here.
  std::function<bool(Digest fingerprint)> lift;
  std::function<std::string()> status;
  std::function<Time()> now;
};

/// Adds POST /drain, /undrain, /announce, GET /quarantine and
/// POST /quarantine/lift?fingerprint=HEX to `admin`.
void ServePages(net::AdminServer& admin, const PageActions& actions);

}  // namespace ibisvalve::dataplane
