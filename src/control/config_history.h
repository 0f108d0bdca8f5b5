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

/// Command that stages a configuration file as a change to revision `base`.
struct StageConfig {
  ChangeId change;
  Revision base;
  std::string text;
  uint64_t lease_us = 0;  // lease that the file grants to nodes
  uint64_t at_us = 0;     // wall clock, for display only
  // If set, the file is active once committed, without waiting for nodes.
  bool activate_immediately = false;
  // If set, a refusal is not recorded: the same change may be sent again and
  // may then be accepted.
  bool allow_retry_after_refusal = false;

  auto operator<=>(const StageConfig&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(change, base, text, lease_us, at_us, activate_immediately,
            allow_retry_after_refusal);
  }
};

/// Command that activates the staged file.
struct ActivateConfig {
  Revision revision;
  uint64_t at_us = 0;

  auto operator<=>(const ActivateConfig&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(revision, at_us);
  }
};

/// Command that withdraws the staged file.
struct WithdrawConfig {
  Revision revision;
  std::string detail;
  std::vector<NodeId> hosts;  // nodes that prevented the activation
  uint64_t at_us = 0;

  auto operator<=>(const WithdrawConfig&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(revision, detail, hosts, at_us);
  }
};

/// Result of a configuration change.
enum class ChangeResult : uint8_t {
  kStaged,       // accepted; nodes are validating it
  kActive,       // activated, and possibly superseded since
  kWithdrawn,    // withdrawn before it became active
  kConflict,     // another change with this base or this id came first
  kStale,        // the base is older than that of the active file
  kInvalid,      // the file has errors, or the base was never active
  kUnavailable,  // no majority was reached; the result is not known
  kUnknown,      // no change with this id was accepted or refused
};

/// Returns the lower-case name that the admin pages show.
std::string ToString(ChangeResult result);

/// Answer to a configuration change.
struct ChangeAnswer {
  ChangeResult result = ChangeResult::kUnavailable;
  Revision revision;  // of the change, or of the one that takes precedence
  Digest digest;      // of the file of `revision`
  Revision active;    // active revision when the answer is given
  std::string detail;
  std::vector<NodeId> hosts;  // nodes that prevented the activation

  auto operator<=>(const ChangeAnswer&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(result, revision, digest, active, detail, hosts);
  }
};

/// State of an accepted configuration file.
enum class ConfigState : uint8_t { kStaged, kActive, kSuperseded, kWithdrawn };

/// Returns the lower-case name that the admin pages show.
std::string ToString(ConfigState state);

/// An accepted configuration file.
struct ConfigRecord {
  Revision revision;
  Digest digest;
  ChangeId change;
  Revision base;
  ConfigState state = ConfigState::kStaged;
  uint64_t at_us = 0;  // wall clock of the last state change
  uint64_t lease_us = 0;
  std::string text;  // empty once dropped from the history
  std::string detail;
  std::vector<NodeId> hosts;

  auto operator<=>(const ConfigRecord&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(revision, digest, change, base, state, at_us, lease_us, text,
            detail, hosts);
  }
};

/// Replicated history of configuration files. Deterministic: replicas that
/// apply the same commands hold the same history.
class ConfigHistory {
 public:
  /// Stages a file if its base is the active revision and no other change to
  /// that base is staged. A repeated change id gets the answer to its first
  /// use, except for a refusal that was not recorded.
  ChangeAnswer Apply(const StageConfig& stage);
  /// Activates the staged file. Has no effect if another revision is staged.
  void Apply(const ActivateConfig& activate);
  /// Withdraws the staged file. Has no effect if another revision is staged.
  void Apply(const WithdrawConfig& withdraw);

  /// Returns the answer to `change` in the present state.
  ChangeAnswer AnswerTo(const ChangeId& change) const;
  /// Returns the active file, or null before the first activation.
  const ConfigRecord* active() const { return Find(active_); }
  /// Returns the staged file, or null if there is none.
  const ConfigRecord* staged() const { return Find(staged_); }
  /// Returns the record of `revision`, or null if none is retained.
  const ConfigRecord* Find(Revision revision) const;
  /// Returns the retained records of accepted files, oldest first.
  const std::deque<ConfigRecord>& history() const { return records_; }

  template <typename Archive>
  void save(Archive& archive) const {
    archive(std::vector<ConfigRecord>(records_.begin(), records_.end()),
            refused_,
            std::vector<ChangeId>(refusal_order_.begin(), refusal_order_.end()),
            active_, staged_);
  }
  template <typename Archive>
  void load(Archive& archive) {
    std::vector<ConfigRecord> records;
    std::vector<ChangeId> order;
    archive(records, refused_, order, active_, staged_);
    records_.assign(records.begin(), records.end());
    refusal_order_.assign(order.begin(), order.end());
    IndexChanges();
  }

 private:
  struct Refusal {
    Digest digest;  // of the refused file
    ChangeAnswer answer;

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(digest, answer);
    }
  };

  ConfigRecord* FindMutable(Revision revision);
  ChangeAnswer AnswerFromRecord(const ConfigRecord& record) const;
  std::optional<Digest> DigestOfChange(const ChangeId& change) const;
  ChangeAnswer RepeatedAnswer(const ChangeId& change, bool same_file) const;
  ChangeAnswer Refuse(const StageConfig& stage,
                      ChangeResult result,
                      const ConfigRecord* reported_record,
                      const std::string& detail);
  const ConfigRecord* FindChangeBasedOn(Revision base) const;
  void TrimHistory();
  void IndexChanges();

  std::deque<ConfigRecord> records_;  // consecutive revisions
  std::map<ChangeId, Revision> accepted_;
  std::map<ChangeId, Refusal> refused_;
  std::deque<ChangeId> refusal_order_;  // keys of refused_, oldest first
  Revision active_;
  Revision staged_;
};

}  // namespace ibisvalve::control
