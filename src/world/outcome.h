#pragma once

#include <cstdint>
#include <string>

namespace ibisvalve::world {

/// What is known of a request's run.
enum class Outcome : uint8_t {
  kAnswered,  // a whole answer from one run
  kNotRun,    // proof that no target saw it
  kUnknown,   // a target may have seen it
};

/// Why a request was refused as not run, or its outcome is unknown.
enum class Reason : uint8_t {
  kNone,
  kUnknownService,
  kNoTarget,       // no target of the service is known
  kBusy,           // the gate's limit and queue are full
  kDeadline,       // cannot finish in the time that is left
  kDraining,       // the target is leaving
  kTargetDown,     // the target cannot be reached
  kRevision,       // ingress and gate are at different revisions
  kIsolated,       // the node's lease has run out
  kNoQuorum,       // the key could not be claimed
  kKeyClaimed,     // another attempt holds the key
  kKeyMismatch,    // the key was used with another body
  kKeyRequired,    // the contract asks for a key
  kQuarantined,    // the request crashed targets before
  kTooLarge,       // over the service's limit on bodies
  kMemory,         // the process-wide byte budget is used up
  kFenced,         // the gate promised never to run it
  kLinkLost,       // the link broke; the gate could not be asked
  kGateRestarted,  // the gate cannot vouch for its former run
  kTargetBroke,    // the target died before its answer was whole
  kCancelled,      // the caller hung up
  kBadRequest,
  kNoRoute,        // no route fits the host and path
  kTargetRefused,  // the target says that it did not run it
  kSlow,           // the target's host is slowed down; another is quicker
};

/// Returns "answered", "not-run" or "unknown", as in the Ibis-Outcome header.
std::string ToString(Outcome outcome);

/// Returns a short lower-case word, as in the Ibis-Reason header.
std::string ToString(Reason reason);

}  // namespace ibisvalve::world
