#pragma once

#include <functional>
#include <optional>
#include <string>

#include "dataplane/caller_exchange.h"
#include "dataplane/header_names.h"
#include "world/world.h"

namespace ibisvalve::dataplane {

/// What a caller's request asks for, after its headers were checked.
struct CallerTerms {
  const world::Service* service = nullptr;  // of the fleet it was parsed with
  world::Terms terms;
  Duration deadline{0};  // the contract's or the caller's, whichever is shorter
  uint8_t depth = 0;     // calls above this one
  bool retry = false;    // part of a retry further up
  std::string key;       // Idempotency-Key, or empty
  Digest fingerprint;    // of method, uri and body
  Duration objective{0};      // time in which the answer should come
  uint32_t priority = 0;      // 0 is the most urgent
  uint32_t max_attempts = 1;  // targets that may be sent the request
  std::string kind;           // requests of one kind take about the same time
};

/// Why a request is refused before anything is tried.
struct CallerRefusal {
  world::Reason reason = world::Reason::kBadRequest;
  std::string detail;
  bool close = false;  // the connection can't be trusted any more
};

/// Picks the service of a route that gets the next request.
using PickTarget = std::function<ServiceName(const world::Route& route)>;

/// Reads the headers of `request`. Returns nothing and fills `refusal` where
/// it can't be served under `fleet`. In a fleet with routes these tell where a
/// request goes; otherwise a header or the host does.
std::optional<CallerTerms> ParseTerms(const CallerRequest& request,
                                      const world::Fleet& fleet,
                                      const HeaderNames& names,
                                      const PickTarget& pick,
                                      CallerRefusal& refusal);

}  // namespace ibisvalve::dataplane
