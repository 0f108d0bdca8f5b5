#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "wire/wire.h"

namespace ibisvalve::control {

/// Proposes a file, as a change of revision `base`.
struct StageConfig {
  ChangeId change;
  Revision base;
  std::string text;
  uint64_t lease_us = 0;  // that the file gives to nodes
  uint64_t at_us = 0;     // wall clock, for display
  bool at_once = false;   // in force once committed; no node is waited for
  // A refusal is the answer to this sending of the change only: the same change
  // may come again and then fit.
  bool forget_refusal = false;

  auto operator<=>(const StageConfig&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(change, base, text, lease_us, at_us, at_once, forget_refusal);
  }
};

/// Puts the staged file in force.
struct ActivateConfig {
  Revision revision;
  uint64_t at_us = 0;

  auto operator<=>(const ActivateConfig&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(revision, at_us);
  }
};

/// Gives the staged file up.
struct WithdrawConfig {
  Revision revision;
  std::string detail;
  std::vector<NodeId> hosts;  // that stood in the way
  uint64_t at_us = 0;

  auto operator<=>(const WithdrawConfig&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(revision, detail, hosts, at_us);
  }
};

/// What became of a change.
enum class ChangeResult : uint8_t {
  kStaged,       // accepted; nodes are checking it
  kActive,       // was put in force
  kWithdrawn,    // given up; never in force
  kConflict,     // another change of the same base came first
  kStale,        // its base is older than that
  kInvalid,      // the file has faults, or the base does not exist
  kUnavailable,  // no majority; nothing is known
  kUnknown,      // no change with this id was accepted or decided
};

/// Returns the lower-case word that pages show.
std::string ToString(ChangeResult result);

/// The answer to a change.
struct ChangeAnswer {
  ChangeResult result = ChangeResult::kUnavailable;
  Revision revision;  // of the change, or of the one that won
  Digest digest;      // of that revision
  Revision active;    // in force by now
  std::string detail;
  std::vector<NodeId> hosts;  // that stood in the way

  auto operator<=>(const ChangeAnswer&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(result, revision, digest, active, detail, hosts);
  }
};

/// Where an accepted file stands.
enum class ConfigState : uint8_t { kStaged, kActive, kSuperseded, kWithdrawn };

/// Returns the lower-case word that pages show.
std::string ToString(ConfigState state);

/// One accepted file.
struct ConfigRecord {
  Revision revision;
  Digest digest;
  ChangeId change;
  Revision base;
  ConfigState state = ConfigState::kStaged;
  uint64_t at_us = 0;  // wall clock of the last change of state
  uint64_t lease_us = 0;
  std::string text;  // empty once too old
  std::string detail;
  std::vector<NodeId> hosts;

  auto operator<=>(const ConfigRecord&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(revision, digest, change, base, state, at_us, lease_us, text,
            detail, hosts);
  }
};

/// The replicated state of configuration files. Deterministic: every replica
/// that applies the same commands holds the same ledger.
class ConfigLedger {
 public:
  /// Accepts a file if its base is in force and nothing else is staged on it.
  /// A change id has one answer for good.
  ChangeAnswer Apply(const StageConfig& stage);
  /// Puts the staged file in force; nothing when it is not the one staged.
  void Apply(const ActivateConfig& activate);
  /// Gives the staged file up; nothing when it is not the one staged.
  void Apply(const WithdrawConfig& withdraw);

  /// Returns the answer to `change` as of now.
  ChangeAnswer AnswerTo(const ChangeId& change) const;
  /// Returns the file in force, or null before the first.
  const ConfigRecord* active() const { return Find(active_); }
  /// Returns the file that is staged, or null.
  const ConfigRecord* staged() const { return Find(staged_); }
  /// Returns the record of `revision`, or null.
  const ConfigRecord* Find(Revision revision) const;
  /// Returns every accepted file, oldest first.
  const std::deque<ConfigRecord>& history() const { return records_; }

  template <typename Archive>
  void save(Archive& archive) const {
    archive(std::vector<ConfigRecord>(records_.begin(), records_.end()),
            refused_, std::vector<ChangeId>(order_.begin(), order_.end()),
            active_, staged_);
  }
  template <typename Archive>
  void load(Archive& archive) {
    std::vector<ConfigRecord> records;
    std::vector<ChangeId> order;
    archive(records, refused_, order, active_, staged_);
    records_.assign(records.begin(), records.end());
    order_.assign(order.begin(), order.end());
    IndexChanges();
  }

 private:
  struct Refusal {
    Digest digest;  // of the file that was refused
    ChangeAnswer answer;

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(digest, answer);
    }
  };

  ConfigRecord* Mutable(Revision revision);
  ChangeAnswer AnswerFor(const ConfigRecord& record) const;
  std::optional<Digest> DigestOfChange(const ChangeId& change) const;
  ChangeAnswer AnswerAgain(const ChangeId& change, bool same_file) const;
  ChangeAnswer Refuse(const StageConfig& stage,
                      ChangeResult result,
                      const ConfigRecord* present,
                      const std::string& detail);
  const ConfigRecord* WinnerOn(Revision base) const;
  void Forget();
  void IndexChanges();

  std::deque<ConfigRecord> records_;  // revisions without gaps
  std::map<ChangeId, Revision> accepted_;
  std::map<ChangeId, Refusal> refused_;
  std::deque<ChangeId> order_;  // of refused_, oldest first
  Revision active_;
  Revision staged_;
};

}  // namespace ibisvalve::control
