#pragma once

#include <optional>
#include <string>

#include "dataplane/caller_exchange.h"
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
};

/// Why a request is refused before anything is tried.
struct CallerRefusal {
  world::Reason reason = world::Reason::kBadRequest;
  std::string detail;
  bool close = false;  // the connection can't be trusted any more
};

/// Reads the headers of `request`. Returns nothing and fills `refusal` where
/// it can't be served under `fleet`.
std::optional<CallerTerms> ParseTerms(const CallerRequest& request,
                                      const world::Fleet& fleet,
                                      CallerRefusal& refusal);

}  // namespace ibisvalve::dataplane
