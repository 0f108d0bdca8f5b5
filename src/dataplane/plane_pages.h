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

/// State of the ingress and the gate, for status pages.
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

/// Parses {"state":"ready|draining|starting","slots":N}. Throws InvalidInput
/// with a finding for each invalid field.
TargetAnnouncement ParseAnnouncement(const std::string& json);

/// Operations behind the admin handlers.
struct PageActions {
  std::function<void(bool draining)> set_draining;
  std::function<void(const TargetAnnouncement& announcement)> announce;
  std::function<std::vector<policy::QuarantineEntry>()> quarantined;
  /// Lifts the quarantine of `fingerprint` and returns whether this node had
  /// one.
  std::function<bool(Digest fingerprint)> lift;
  std::function<std::string()> status;
  std::function<Time()> now;
};

/// Registers POST /drain, POST /undrain, POST /announce, GET /quarantine and
/// POST /quarantine/lift?fingerprint=HEX at `admin`.
void AddPages(net::AdminServer& admin, const PageActions& actions);

}  // namespace ibisvalve::dataplane
