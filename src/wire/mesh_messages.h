#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "wire/archive.h"
#include "wire/frame.h"
#include "world/world.h"

namespace ibisvalve::wire {

/// Load of a target as its gate knows it; rides on every answer.
struct LoadHint {
  uint16_t in_flight = 0;           // running at the target
  uint16_t queued = 0;              // waiting at the gate
  uint16_t limit = 0;               // requests the gate lets run at once
  uint32_t service_us = 0;          // recent mean service time
  uint32_t error_permille = 0;      // recent share of failed answers
  uint16_t slowdown_percent = 100;  // that the target tells of its host
  uint16_t pace_percent = 100;      // of its runs against what was expected
  uint32_t kib_us = 0;              // to bring a KiB to it; 0: not known
  Revision revision;                // in force at the gate

  auto operator<=>(const LoadHint&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(in_flight, queued, limit, service_us, error_permille,
            slowdown_percent, pace_percent, kib_us, revision);
  }
};

using Headers = std::vector<std::pair<std::string, std::string>>;

/// First frame each way on a mesh link.
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

/// Asks the gate to run one attempt. The body follows in BodyPart frames
/// unless `body_complete`.
struct OpenAttempt {
  static constexpr FrameType kType = 2;
  AttemptId id;
  Incarnation gate;  // the only run of the gate that may take it
  Revision revision;
  ServiceName service;
  std::string method;
  std::string uri;  // path and query
  Headers headers;
  uint64_t remaining_us = 0;  // until the caller's deadline
  uint8_t depth = 0;          // calls above this one
  bool retry = false;         // this call is a retry somewhere up the chain
  bool may_repeat = false;
  std::string key;     // Idempotency-Key, or empty
  Digest fingerprint;  // of method, uri and body
  uint64_t body_bytes = 0;
  std::string body;  // first part
  bool body_complete = true;
  ServiceName caller;         // beside the ingress: who asks
  uint64_t objective_us = 0;  // until the answer should come; 0: it is late
  uint64_t expected_us = 0;   // usual time of such a run; 0: not known
  uint32_t priority = 0;      // 0 is the most urgent
  bool may_move = false;      // another target would do nearly as well

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, gate, revision, service, method, uri, headers, remaining_us,
            depth, retry, may_repeat, key, fingerprint, body_bytes, body,
            body_complete, caller, objective_us, expected_us, priority,
            may_move);
  }
};

/// A further part of a request's body.
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

/// The caller hung up or another attempt won: stop it if it can be stopped.
struct CancelAttempt {
  static constexpr FrameType kType = 4;
  AttemptId id;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id);
  }
};

/// Start of a target's answer. Small answers are complete in this frame.
struct AnswerHead {
  static constexpr FrameType kType = 5;
  AttemptId id;
  uint16_t status = 0;
  Headers headers;
  std::optional<uint64_t> length;  // absent: chunked
  std::string body;                // first part
  bool complete = false;
  LoadHint hint;
  uint64_t ran_us = 0;              // from the target's start to its head
  uint16_t slowdown_percent = 100;  // that the target told as it began

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, status, headers, length, body, complete, hint, ran_us,
            slowdown_percent);
  }
};

/// A further part of an answer.
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

/// The attempt ended without a whole answer. kNotRun is proof.
struct AttemptFailed {
  static constexpr FrameType kType = 7;
  AttemptId id;
  world::Outcome outcome = world::Outcome::kUnknown;
  world::Reason reason = world::Reason::kNone;
  Revision revision;  // in force at the gate
  LoadHint hint;
  std::optional<ClaimHolder> holder;  // with kKeyClaimed
  uint16_t claimed_status = 0;        // with kKeyClaimed: of that run, if known

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, outcome, reason, revision, hint, holder, claimed_status);
  }
};

/// Lets the sender of a body or an answer send `bytes` more.
struct Credit {
  static constexpr FrameType kType = 8;
  AttemptId id;
  uint32_t bytes = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, bytes);
  }
};

/// Asks what became of an attempt; an attempt never seen is fenced by this.
/// The answer is AnswerHead, AttemptFailed or AttemptRunning.
struct QueryAttempt {
  static constexpr FrameType kType = 9;
  AttemptId id;
  Incarnation gate;    // the gate's incarnation when the attempt was sent
  AttemptId reply_as;  // id of the frames that answer; `id` for one's own
                       // attempt, another to follow the first run of a key

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, gate, reply_as);
  }
};

/// The attempt is running; its answer will come on this link.
struct AttemptRunning {
  static constexpr FrameType kType = 10;
  AttemptId id;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id);
  }
};

/// Heartbeat while something is in flight; echoed as Pong.
struct Ping {
  static constexpr FrameType kType = 11;
  uint64_t number = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number);
  }
};

/// A target broke off while these requests were in flight at it. Told to the
/// other gates of its service.
struct CrashNotice {
  static constexpr FrameType kType = 13;
  NodeId gate;
  Incarnation incarnation;        // of the gate
  uint64_t number = 0;            // of the crash, counted by the gate
  std::vector<Digest> in_flight;  // fingerprints of the requests

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(gate, incarnation, number, in_flight);
  }
};

/// Operators have lifted a quarantine.
struct LiftNotice {
  static constexpr FrameType kType = 14;
  Digest fingerprint;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(fingerprint);
  }
};

/// Tells an ingress of a load that has changed since the last answer.
struct LoadNotice {
  static constexpr FrameType kType = 17;
  LoadHint hint;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(hint);
  }
};

/// Asks a node for the file that is in force there. Answered by PresentFile.
struct FetchFile {
  static constexpr FrameType kType = 15;

  template <typename Archive>
  void serialize(Archive&) {}
};

/// The file that is in force at a node.
struct PresentFile {
  static constexpr FrameType kType = 16;
  Revision revision;
  Digest digest;
  std::string text;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(revision, digest, text);
  }
};

/// Echo of Ping; also answers a probe, so it carries the load.
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
