#include "world/outcome.h"

namespace ibisvalve::world {

std::string ToString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "invalid";
}

std::string ToString(Reason reason) {
  switch (reason) {
    case Reason::kNone:
      return "none";
    case Reason::kUnknownService:
      return "unknown-service";
    case Reason::kNoTarget:
      return "no-target";
    case Reason::kBusy:
      return "busy";
    case Reason::kDeadline:
      return "deadline";
    case Reason::kDraining:
      return "draining";
    case Reason::kTargetDown:
      return "target-down";
    case Reason::kRevision:
      return "revision";
    case Reason::kIsolated:
      return "isolated";
    case Reason::kNoQuorum:
      return "no-quorum";
    case Reason::kKeyClaimed:
      return "key-claimed";
    case Reason::kKeyMismatch:
      return "key-mismatch";
    case Reason::kKeyRequired:
      return "key-required";
    case Reason::kQuarantined:
      return "quarantined";
    case Reason::kTooLarge:
      return "too-large";
    case Reason::kMemory:
      return "memory";
    case Reason::kFenced:
      return "fenced";
    case Reason::kLinkLost:
      return "link-lost";
    case Reason::kGateRestarted:
      return "gate-restarted";
    case Reason::kTargetBroke:
      return "target-broke";
    case Reason::kCancelled:
      return "cancelled";
    case Reason::kBadRequest:
      return "bad-request";
    case Reason::kNoRoute:
      return "no-route";
    case Reason::kTargetRefused:
      return "target-refused";
    case Reason::kSlow:
      return "slow";
    case Reason::kUnauthorized:
      return "unauthorized";
    case Reason::kQuota:
      return "quota";
    case Reason::kEvacuated:
      return "evacuated";
  }
  return "invalid";
}

}  // namespace ibisvalve::world
