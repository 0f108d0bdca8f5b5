#pragma once

#include "wire/archive.h"
#include "wire/frame.h"
#include "world/world.h"

namespace ibisvalve::wire {

/// Names one keyed request of a service.
struct RequestKey {
  ServiceName service;
  std::string key;  // the caller's Idempotency-Key

  auto operator<=>(const RequestKey&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, key);
  }
};

/// Who holds a key: the one attempt that may run.
struct ClaimHolder {
  AttemptId attempt;
  NodeId gate;                   // the node that runs it
  Incarnation gate_incarnation;  // of the node when it claimed

  auto operator<=>(const ClaimHolder&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(attempt, gate, gate_incarnation);
  }
};

/// What a keeper answers to a claim.
enum class ClaimVerdict : uint8_t {
  kGranted,      // the caller is the holder, for good
  kTaken,        // another attempt is the holder
  kMismatch,     // the key was claimed for another body
  kUnavailable,  // no majority could be had in time; nothing is known
};

/// Asks that `holder` becomes the only one to run `key`. Asking again with the
/// same holder gets the same answer.
struct ClaimRequest {
  static constexpr FrameType kType = 80;
  uint64_t call = 0;  // echoed in the reply
  RequestKey key;
  Digest body;  // of method, path and body
  ClaimHolder holder;
  uint64_t retention_us = 0;

  auto operator<=>(const ClaimRequest&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(call, key, body, holder, retention_us);
  }
};

/// Answer to ClaimRequest.
struct ClaimReply {
  static constexpr FrameType kType = 81;
  uint64_t call = 0;
  ClaimVerdict verdict = ClaimVerdict::kUnavailable;
  ClaimHolder holder;   // with kGranted and kTaken
  uint16_t status = 0;  // HTTP status of the run if it is on record, else 0

  auto operator<=>(const ClaimReply&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(call, verdict, holder, status);
  }
};

/// Ends a claim: with status 0 it is released, because the holder proved that
/// it did not run; otherwise the status of the run is kept on record.
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
