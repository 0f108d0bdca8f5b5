#pragma once

#include "wire/archive.h"
#include "wire/frame.h"
#include "world/world.h"

namespace ibisvalve::wire {

/// Identifies a request of a service by its idempotency key.
struct RequestKey {
  ServiceName service;
  std::string key;  // value of the caller's Idempotency-Key header

  auto operator<=>(const RequestKey&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, key);
  }
};

/// Holder of an idempotency key: the only attempt that may run.
struct ClaimHolder {
  AttemptId attempt;
  NodeId gate;                   // node that runs the attempt
  Incarnation gate_incarnation;  // of that node at the time of the claim

  auto operator<=>(const ClaimHolder&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(attempt, gate, gate_incarnation);
  }
};

/// Result of a claim, as returned by a keeper.
enum class ClaimVerdict : uint8_t {
  // The requester is the holder. The claim needs no renewal: it holds until it
  // is released or its retention ends.
  kGranted,
  kTaken,        // another attempt is the holder
  kMismatch,     // the key was claimed for another body
  kUnavailable,  // no majority answered in time; the result is unknown
};

/// Claims `key` for `holder`, which then is the only attempt that may run it.
/// Idempotent: repeating the claim with the same holder gives the same answer.
struct ClaimRequest {
  static constexpr FrameType kType = 80;
  uint64_t call = 0;  // echoed in the reply
  RequestKey key;
  Digest body;  // digest of method, path and body
  ClaimHolder holder;
  uint64_t retention_us = 0;

  auto operator<=>(const ClaimRequest&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(call, key, body, holder, retention_us);
  }
};

/// Reply to ClaimRequest.
struct ClaimReply {
  static constexpr FrameType kType = 81;
  uint64_t call = 0;
  ClaimVerdict verdict = ClaimVerdict::kUnavailable;
  ClaimHolder holder;   // set with kGranted and kTaken
  uint16_t status = 0;  // recorded HTTP status of the run; 0: none

  auto operator<=>(const ClaimReply&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(call, verdict, holder, status);
  }
};

/// Ends a claim. Status 0 releases it because the holder has proof that the
/// request did not run; any other value is recorded as the HTTP status of the
/// run.
struct ClaimSettle {
  static constexpr FrameType kType = 82;
  RequestKey key;
  ClaimHolder holder;
  uint16_t status = 0;

  auto operator<=>(const ClaimSettle&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key, holder, status);
  }
};

}  // namespace ibisvalve::wire
