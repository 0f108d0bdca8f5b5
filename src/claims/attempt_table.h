#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

#include "base/base.h"
#include "wire/wire.h"
#include "world/world.h"

namespace ibisvalve::claims {

/// A complete response, stored so that it can be sent again to an ingress that
/// queries the attempt.
struct StoredResponse {
  uint16_t status = 0;
  wire::Headers headers;
  std::string body;

  auto operator<=>(const StoredResponse&) const = default;
};

/// Result of a finished attempt.
struct FinishedAttempt {
  world::Outcome outcome = world::Outcome::kUnknown;
  world::Reason reason = world::Reason::kNone;
  uint16_t status = 0;  // HTTP status of the response; only with kAnswered
  std::shared_ptr<const StoredResponse> response;  // null if it is not stored
};

/// State of an attempt as recorded by its gate.
enum class AttemptPhase : uint8_t {
  kUnseen,     // never received
  kRunning,    // received and not finished: queued or running
  kFinished,   // finished; its result is recorded
  kFenced,     // queried before it was received; it is never run
  kForgotten,  // may have been received and evicted: its outcome is not known
};

/// Capacity limits of an attempt table.
struct AttemptTableLimits {
  size_t entries = 8192;            // finished or fenced attempts without a key
  size_t response_bytes = 1 << 20;  // responses to attempts without a key
  size_t keyed_entries = 4096;      // finished attempts with a key
  size_t keyed_response_bytes = 2 << 20;  // responses to attempts with a key
  size_t ingresses = 16384;  // ingresses that have a low-water mark

  auto operator<=>(const AttemptTableLimits&) const = default;
};

/// Records the attempts that one incarnation of a gate has received, in bounded
/// memory. Entries of running attempts are never evicted. Evicting another
/// entry raises the low-water mark of its ingress: an attempt at or below the
/// mark without an entry is treated as forgotten, so that an attempt that ran
/// is never mistaken for an unseen one.
class AttemptTable {
 public:
  explicit AttemptTable(const AttemptTableLimits& limits);

  /// Records that attempt `id` was received, and returns its previous phase.
  /// After kUnseen the attempt is recorded as running; after any other phase
  /// the caller must not run it.
  AttemptPhase Open(const AttemptId& id);
  /// Records that the running attempt `id` has finished. Responses to attempts
  /// with a key (`keyed`) have limits of their own, so that responses to
  /// attempts without a key cannot evict them.
  void Finish(const AttemptId& id, FinishedAttempt finished, bool keyed);
  /// Returns the phase of `id` for an ingress that queries it. Fences an
  /// attempt that was never received, so that it is not run if it arrives
  /// later.
  AttemptPhase Query(const AttemptId& id);
  /// Returns the result of `id`, or null if it is running or has no entry. The
  /// pointer is valid until the next Finish, Query or Open.
  const FinishedAttempt* Find(const AttemptId& id) const;

  size_t entries() const { return entries_.size(); }
  /// Returns the memory used by stored responses, in bytes.
  size_t response_bytes() const {
    return unkeyed_.response_bytes + keyed_.response_bytes;
  }

 private:
  struct Entry {
    AttemptPhase phase = AttemptPhase::kRunning;
    FinishedAttempt finished;
  };
  // Ids of finished and fenced attempts in the order of eviction (oldest
  // first), and of those among them that have a stored response.
  struct EvictionQueue {
    size_t max_entries = 0;
    size_t max_response_bytes = 0;
    std::deque<AttemptId> order;
    std::deque<AttemptId> with_response;
    size_t response_bytes = 0;
  };
  struct LowWaterMark {
    uint64_t counter = 0;
    uint64_t last_raise = 0;  // value of `raise_count_` when the mark last rose
  };

  bool IsForgotten(const AttemptId& id) const;
  void Enqueue(EvictionQueue& queue, const AttemptId& id);
  void EvictResponse(EvictionQueue& queue, const AttemptId& id);
  void RaiseLowWaterMark(const AttemptId& id);
  void EvictOldestMark();

  AttemptTableLimits limits_;
  std::unordered_map<AttemptId, Entry> entries_;
  EvictionQueue unkeyed_;
  EvictionQueue keyed_;
  // Low-water marks by ingress: its incarnation and the digest of its node.
  std::map<std::pair<Incarnation, Digest>, LowWaterMark> low_water_marks_;
  uint64_t raise_count_ = 0;
  // Highest ingress incarnation whose mark was evicted. All attempts of an
  // ingress that is not above it and has no mark are treated as forgotten.
  Incarnation last_forgotten_ingress_;
};

}  // namespace ibisvalve::claims
