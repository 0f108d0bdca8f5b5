#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "base/base.h"

namespace ibisvalve::world {

/// Identifies a request in reports of crashes, at two levels. Neither changes
/// if its caller sends it again.
struct RequestIdentity {
  Digest request;   // the very same request
  Digest resource;  // all requests for the same path with the same body

  auto operator<=>(const RequestIdentity&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(request, resource);
  }
};

/// Identifies a crash of a target across all nodes.
struct CrashId {
  NodeId gate;              // of the target
  Incarnation incarnation;  // of the gate
  // Sequence number at the gate; 0 if the gate has ended with its target.
  uint64_t number = 0;

  auto operator<=>(const CrashId&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(gate, incarnation, number);
  }
};

/// A crash at which a request was in flight, as nodes tell it each other.
struct KnownCrash {
  CrashId id;
  Digest request;
  uint64_t age_us = 0;  // time since the crash
  // Whether a later response or an operator has cleared the request of it.
  bool cleared = false;
  // The same for the resource.
  bool resource_cleared = false;

  auto operator<=>(const KnownCrash&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, request, age_us, cleared, resource_cleared);
  }
};

/// The crashes at which requests for one resource were in flight.
struct CrashRecord {
  Digest resource;
  std::vector<KnownCrash> crashes;

  auto operator<=>(const CrashRecord&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(resource, crashes);
  }
};

/// Crashes with a request in flight that quarantine this very request.
inline constexpr uint32_t kRequestCrashThreshold = 2;
/// Crashes with requests for a resource in flight that quarantine all of them,
/// unless a single request was in flight at each.
inline constexpr uint32_t kResourceCrashThreshold = 3;

/// How much a record counts against the requests for its resource.
enum class CrashWeight : uint8_t {
  kNone,         // less than two crashes count against anything
  kSuspicious,   // one more crash may quarantine something
  kQuarantines,  // a request or the whole resource is quarantined
};

/// Returns the weight of `record`, whatever the age of its crashes.
CrashWeight WeightOf(const CrashRecord& record);

/// Returns a digest of `record` that leaves out the ages of its crashes, which
/// differ from node to node.
Digest DigestOf(const CrashRecord& record);

/// Returns whether `known` clears a request or its resource of a crash that
/// counts against it in `told`. Both are of the same resource.
bool Clears(const CrashRecord& known, const CrashRecord& told);

}  // namespace ibisvalve::world
