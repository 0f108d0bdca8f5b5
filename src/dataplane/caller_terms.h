#pragma once

#include <functional>
#include <optional>
#include <string>

#include "dataplane/caller_exchange.h"
#include "dataplane/caller_identity.h"
#include "dataplane/header_names.h"
#include "world/world.h"

namespace ibisvalve::dataplane {

/// Validated terms of a caller's request, from its headers and the contract or
/// route that applies to it.
struct CallerTerms {
  const world::Service* service = nullptr;  // owned by the parsed fleet
  world::Terms terms;
  Duration deadline{0};  // the shorter of the contract's and the caller's
  Duration caller_deadline{0};  // the caller's; 0: not given
  uint8_t depth = 0;         // number of calls above this one in the call chain
  bool under_retry = false;  // a caller further up the chain is retrying
  std::string key;           // value of Idempotency-Key, or empty
  Digest fingerprint;        // of method, URI and body
  // Identifies the request in reports of crashes.
  world::RequestIdentity identity;
  Duration objective{0};      // latency objective of the response
  uint32_t priority = 0;      // 0 is the most urgent
  uint32_t max_attempts = 1;  // maximum number of targets that may get it
  std::string kind;           // requests of a kind have similar service times
  // Of the caller; null: not known. Owned by the parsed fleet.
  const world::Workspace* workspace = nullptr;
  AllowedRegions regions;  // whose targets may be used
};

/// Why a request is rejected before the first attempt.
struct CallerRefusal {
  world::Reason reason = world::Reason::kBadRequest;
  std::string detail;
  bool close = false;  // message framing is unreliable; close the connection
};

/// Returns the service of `route` that receives the next request.
using PickService = std::function<ServiceName(const world::Route& route)>;

/// Parses the headers of `request`, which began on a host of the service
/// `caller`. Returns std::nullopt and sets `refusal` if the request cannot be
/// served under `fleet`, whose workspaces have `keys`. The service is selected
/// by the routes of `fleet` if it has a list of them, also an empty one,
/// otherwise by the Ibis-Service header or the first label of the Host header.
std::optional<CallerTerms> ParseTerms(const CallerRequest& request,
                                      const world::Fleet& fleet,
                                      const policy::WorkspaceKeys& keys,
                                      const HeaderNames& names,
                                      const ServiceName& caller,
                                      const PickService& pick,
                                      CallerRefusal& refusal);

}  // namespace ibisvalve::dataplane
