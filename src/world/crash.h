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

}  // namespace ibisvalve::world
