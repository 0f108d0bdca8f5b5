#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "wire/archive.h"
#include "wire/frame.h"
#include "world/world.h"

namespace ibisvalve::wire {

/// Load of a target as seen by its gate; piggybacked on every answer.
struct LoadHint {
  uint16_t in_flight = 0;  // requests running at the target
  uint16_t queued = 0;     // requests waiting at the gate
  uint16_t limit = 0;      // concurrency limit enforced by the gate
  // Recent mean service time, in microseconds.
  uint32_t mean_service_time_us = 0;
  uint32_t error_permille = 0;      // recent share of failed answers
  uint16_t slowdown_percent = 100;  // slowdown reported by the target
  uint16_t pace_percent = 100;      // actual relative to expected service time
  // Transfer time per KiB to the target; 0: unknown.
  uint32_t transfer_us_per_kib = 0;
  Revision revision;  // revision in force at the gate

  auto operator<=>(const LoadHint&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(in_flight, queued, limit, mean_service_time_us, error_permille,
            slowdown_percent, pace_percent, transfer_us_per_kib, revision);
  }
};

using Headers = std::vector<std::pair<std::string, std::string>>;

/// First frame in each direction on a mesh link.
struct MeshHello {
  static constexpr FrameType kType = 1;
  NodeId node;
  Incarnation incarnation;
  Revision revision;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(node, incarnation, revision);
  }
};

/// Asks a gate to run an attempt. Unless `body_complete` is set, the rest of
/// the body follows in BodyPart frames.
struct OpenAttempt {
  static constexpr FrameType kType = 2;
  AttemptId id;
  Incarnation gate;  // only this incarnation of the gate may accept it
  Revision revision;
  ServiceName service;
  std::string method;
  std::string uri;  // path and query
  Headers headers;
  uint64_t remaining_us = 0;  // until the caller's deadline
  uint8_t depth = 0;   // number of calls above this one in the call chain
  bool retry = false;  // this call or one above it is a retry
  bool may_repeat = false;
  std::string key;     // Idempotency-Key; empty: none
  Digest fingerprint;  // digest of method, uri and body
  uint64_t body_bytes = 0;
  std::string body;  // first part of the body
  bool body_complete = true;
  ServiceName caller;         // service of the ingress's node; may be empty
  uint64_t objective_us = 0;  // time left to the latency objective; 0: missed
  uint64_t expected_us = 0;   // typical service time; 0: unknown
  uint32_t priority = 0;      // 0 is the highest priority
  bool may_redirect = false;  // another target is nearly as good
  uint64_t sent_us = 0;       // by the sender's BootMicros
  world::RequestIdentity identity;  // in reports of crashes
  // Crashes of targets at which requests for the resource were in flight, known
  // at the ingress.
  std::vector<world::KnownCrash> crashes;
  std::string workspace;  // of the caller; empty: not known

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, gate, revision, service, method, uri, headers, remaining_us,
            depth, retry, may_repeat, key, fingerprint, body_bytes, body,
            body_complete, caller, objective_us, expected_us, priority,
            may_redirect, sent_us, identity, crashes, workspace);
  }
};

/// Next part of a request body.
struct BodyPart {
  static constexpr FrameType kType = 3;
  AttemptId id;
  std::string bytes;
  bool last = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, bytes, last);
  }
};

/// Asks the gate to stop an attempt if possible, because the caller has
/// disconnected or another attempt has answered first.
struct CancelAttempt {
  static constexpr FrameType kType = 4;
  AttemptId id;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id);
  }
};

/// Start of a target's answer. Small answers fit completely into this frame.
struct AnswerHead {
  static constexpr FrameType kType = 5;
  AttemptId id;
  uint16_t status = 0;
  Headers headers;
  std::optional<uint64_t> length;  // nullopt: chunked
  std::string body;                // first part of the body
  bool complete = false;
  LoadHint hint;
  uint64_t ran_us = 0;  // from start at the target to the answer's header
  uint16_t slowdown_percent = 100;  // reported by the target before the start

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, status, headers, length, body, complete, hint, ran_us,
            slowdown_percent);
  }
};

/// Next part of an answer's body.
struct AnswerPart {
  static constexpr FrameType kType = 6;
  AttemptId id;
  std::string bytes;
  bool last = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, bytes, last);
  }
};

/// Reports that an attempt ended without a complete answer. Outcome kNotRun is
/// proof that no target has seen the request.
struct AttemptFailed {
  static constexpr FrameType kType = 7;
  AttemptId id;
  world::Outcome outcome = world::Outcome::kUnknown;
  world::Reason reason = world::Reason::kNone;
  Revision revision;  // revision in force at the gate
  LoadHint hint;
  std::optional<ClaimHolder> holder;  // set with kKeyClaimed
  // With kKeyClaimed, the HTTP status of the holder's run; 0: unknown.
  uint16_t claimed_status = 0;
  // Crashes of targets at which requests for the resource were in flight, known
  // at the gate.
  std::vector<world::KnownCrash> crashes;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, outcome, reason, revision, hint, holder, claimed_status,
            crashes);
  }
};

/// Flow control: allows the sender of a body or an answer to send `bytes` more.
struct Credit {
  static constexpr FrameType kType = 8;
  AttemptId id;
  uint32_t bytes = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, bytes);
  }
};

/// Queries the state of an attempt. If the gate has never seen the attempt, the
/// query fences it. The reply is AnswerHead, AttemptFailed or AttemptRunning.
struct QueryAttempt {
  static constexpr FrameType kType = 9;
  AttemptId id;
  Incarnation gate;  // the gate's incarnation when the attempt was sent
  // Attempt id of the reply frames: `id` for the sender's own attempt, another
  // id to follow the first run of an idempotency key.
  AttemptId reply_as;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, gate, reply_as);
  }
};

/// Reports that the attempt is running. Its answer will follow on this link.
struct AttemptRunning {
  static constexpr FrameType kType = 10;
  AttemptId id;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id);
  }
};

/// Heartbeat, sent while attempts are in flight. The reply is Pong.
struct Ping {
  static constexpr FrameType kType = 11;
  uint64_t number = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number);
  }
};

/// Tells what the sender knows of crashes of targets.
struct CrashNotice {
  static constexpr FrameType kType = 13;
  std::vector<world::CrashRecord> records;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(records);
  }
};

/// Compares the records of quarantined requests of two nodes. The reply is
/// CrashSyncReply.
struct CrashSync {
  static constexpr FrameType kType = 18;
  Digest digest;  // of the sender's records

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(digest);
  }
};

/// Reply to CrashSync, or to a CrashNotice of crashes that the replier knows to
/// be cleared.
struct CrashSyncReply {
  static constexpr FrameType kType = 19;
  Digest digest;                            // of the replier's records
  std::vector<world::CrashRecord> records;  // empty if the digests are equal
  bool correction = false;                  // a reply to CrashNotice

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(digest, records, correction);
  }
};

/// Reports that an operator has lifted a quarantine.
struct LiftNotice {
  static constexpr FrameType kType = 14;
  Digest fingerprint;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(fingerprint);
  }
};

/// Sends an ingress a load that has changed since the last answer.
struct LoadNotice {
  static constexpr FrameType kType = 17;
  LoadHint hint;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(hint);
  }
};

/// Requests the configuration file in force at a node. The reply is
/// ActiveFile.
struct FetchFile {
  static constexpr FrameType kType = 15;

  template <typename Archive>
  void serialize(Archive&) {}
};

/// Configuration file in force at a node; reply to FetchFile. The text is
/// encoded as the difference from an empty one.
struct ActiveFile {
  static constexpr FrameType kType = 16;
  Revision revision;
  Digest digest;
  std::string encoded_text;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(revision, digest, encoded_text);
  }
};

/// Reply to Ping. Also answers a load probe, so it carries the load hint.
struct Pong {
  static constexpr FrameType kType = 12;
  uint64_t number = 0;
  Revision revision;
  bool draining = false;
  LoadHint hint;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number, revision, draining, hint);
  }
};

}  // namespace ibisvalve::wire
