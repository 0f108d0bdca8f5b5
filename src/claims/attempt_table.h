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

/// A whole answer, kept for an ingress that asks again.
struct KeptAnswer {
  uint16_t status = 0;
  wire::Headers headers;
  std::string body;

  auto operator<=>(const KeptAnswer&) const = default;
};

/// What became of an attempt that is over.
struct FinishedAttempt {
  world::Outcome outcome = world::Outcome::kUnknown;
  world::Reason reason = world::Reason::kNone;
  uint16_t status = 0;                       // of the answer, with kAnswered
  std::shared_ptr<const KeptAnswer> answer;  // null where it is not kept
};

/// What a gate knows of an attempt.
enum class AttemptPhase : uint8_t {
  kUnseen,     // never came
  kRunning,    // came and is not over: it waits or runs
  kFinished,   // over, and its outcome is known
  kFenced,     // never came, and will never run here
  kForgotten,  // may have come long ago: nothing can be said
};

/// Bounds of an attempt table.
struct AttemptTableLimits {
  size_t entries = 8192;                // finished or fenced, without a key
  size_t answer_bytes = 1 << 20;        // of their answers
  size_t keyed_entries = 4096;          // finished, with a key
  size_t keyed_answer_bytes = 2 << 20;  // of their answers
  size_t ingresses = 16384;             // with a low-water mark

  auto operator<=>(const AttemptTableLimits&) const = default;
};

/// The attempts that one run of a gate has seen, in bounded memory. Running
/// ones are never dropped. When others are, the low-water mark of their ingress
/// rises: an attempt at or below it that has no entry counts as forgotten, so
/// that nothing that ran is ever taken for unseen.
class AttemptTable {
 public:
  /// Makes an empty table.
  explicit AttemptTable(const AttemptTableLimits& limits);

  /// Attempt `id` asks to run. kUnseen: it is running from now on. With every
  /// other result it must not be run.
  AttemptPhase Open(const AttemptId& id);
  /// The running attempt `id` is over. Answers of attempts with a key
  /// (`keyed`) are kept apart, so that others don't push them out.
  void Finish(const AttemptId& id, FinishedAttempt finished, bool keyed);
  /// An ingress asks what became of `id`. An attempt that never came is fenced
  /// by this and never runs.
  AttemptPhase Query(const AttemptId& id);
  /// Returns how the finished attempt `id` ended, or null. Valid until the next
  /// Finish, Query or Open.
  const FinishedAttempt* Find(const AttemptId& id) const;

  /// Returns how many attempts have an entry, and the bytes of kept answers.
  size_t entries() const { return entries_.size(); }
  size_t answer_bytes() const {
    return plain_.answer_bytes + keyed_.answer_bytes;
  }

 private:
  struct Entry {
    AttemptPhase phase = AttemptPhase::kRunning;
    FinishedAttempt finished;
  };
  // Entries that may be dropped, oldest first, and those with an answer.
  struct Generation {
    size_t max_entries = 0;
    size_t max_answer_bytes = 0;
    std::deque<AttemptId> order;
    std::deque<AttemptId> with_answer;
    size_t answer_bytes = 0;
  };
  struct Mark {
    uint64_t counter = 0;
    uint64_t used = 0;  // when it last rose, as a count
  };

  bool IsForgotten(const AttemptId& id) const;
  void Keep(Generation& generation, const AttemptId& id);
  void DropAnswer(Generation& generation, const AttemptId& id);
  void RaiseMark(const AttemptId& id);
  void DropOldestMark();

  AttemptTableLimits limits_;
  std::unordered_map<AttemptId, Entry> entries_;
  Generation plain_;
  Generation keyed_;
  std::map<std::pair<Incarnation, Digest>, Mark> marks_;  // by ingress
  uint64_t mark_count_ = 0;
  // Ingresses up to this one that have no mark count as forgotten as a whole.
  Incarnation forgotten_ingress_;
};

}  // namespace ibisvalve::claims
