#pragma once

#include <cstdint>
#include <string>

namespace ibisvalve::world {

/// What is known about whether a request has run.
enum class Outcome : uint8_t {
  kAnswered,  // complete answer from a single run
  kNotRun,    // proof that no target has seen the request
  kUnknown,   // a target may have seen the request
};

/// Why a request was refused as not run, or why its outcome is unknown.
enum class Reason : uint8_t {
  kNone,
  kUnknownService,
  kNoTarget,       // no target of the service is known
  kBusy,           // the gate is at its concurrency limit and its queue is full
  kDeadline,       // cannot finish before the deadline
  kDraining,       // the target is draining
  kTargetDown,     // the target cannot be reached
  kRevision,       // ingress and gate are at different revisions
  kIsolated,       // the node's lease has expired
  kNoQuorum,       // no quorum of keepers to claim the idempotency key
  kKeyClaimed,     // another attempt holds the idempotency key
  kKeyMismatch,    // the key was claimed for another body
  kKeyRequired,    // the contract requires an idempotency key
  kQuarantined,    // the request has crashed targets before
  kTooLarge,       // body exceeds the service's limit
  kMemory,         // the process-wide memory budget is exhausted
  kFenced,         // the gate has fenced the attempt and will never run it
  kLinkLost,       // the link failed and the gate could not be queried
  kGateRestarted,  // the gate restarted and cannot answer for its earlier run
  kTargetBroke,    // the target failed before its answer was complete
  kCancelled,      // the caller disconnected
  kBadRequest,
  kNoRoute,        // no route matches the host and path
  kTargetRefused,  // the target reports that it did not run the request
  kSlow,           // the target's host is slowed down; another target is faster
  kUnauthorized,   // the route needs a key of a workspace
  kQuota,          // the workspace has used up its quota
  kEvacuated,      // the target's zone is evacuated
};

/// Returns "answered", "not-run" or "unknown", as sent in the Ibis-Outcome
/// header.
std::string ToString(Outcome outcome);

/// Returns the reason in lower case, as sent in the Ibis-Reason header.
std::string ToString(Reason reason);

}  // namespace ibisvalve::world
