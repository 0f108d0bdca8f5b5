#include "control/config_history.h"

#include <utility>

namespace ibisvalve::control {
namespace {

constexpr size_t kMaxTexts = 256;          // newest revisions with their text
constexpr size_t kMaxTextBytes = 2 << 20;  // total size of these texts
constexpr size_t kMaxRecords = 100'000;    // accepted revisions
constexpr size_t kMaxRefusals = 10'000;    // refused changes

}  // namespace

std::string ToString(ChangeResult result) {
  switch (result) {
    case ChangeResult::kStaged:
      return "staged";
    case ChangeResult::kActive:
      return "active";
    case ChangeResult::kWithdrawn:
      return "withdrawn";
    case ChangeResult::kConflict:
      return "conflict";
    case ChangeResult::kStale:
      return "stale";
    case ChangeResult::kInvalid:
      return "invalid";
    case ChangeResult::kUnavailable:
      return "unavailable";
    case ChangeResult::kUnknown:
      return "unknown";
  }
  return "?";
}

std::string ToString(ConfigState state) {
  switch (state) {
    case ConfigState::kStaged:
      return "staged";
    case ConfigState::kActive:
      return "active";
    case ConfigState::kSuperseded:
      return "superseded";
    case ConfigState::kWithdrawn:
      return "withdrawn";
  }
  return "?";
}

ChangeAnswer ConfigHistory::Apply(const StageConfig& stage) {
  const Digest digest = DigestOf(stage.text);
  const std::optional<Digest> first_digest = DigestOfChange(stage.change);
  if (first_digest &&
      (!stage.allow_retry_after_refusal || accepted_.contains(stage.change))) {
    return RepeatedAnswer(stage.change, *first_digest == digest);
  }
  const ConfigRecord* base = Find(stage.base);
  const bool was_active =
      stage.base == Revision() ||
      (base != nullptr && (base->state == ConfigState::kActive ||
                           base->state == ConfigState::kSuperseded));
  if (!was_active) {
    return Refuse(
        stage, ChangeResult::kInvalid, active(),
        "revision " + std::to_string(stage.base.value) + " was never in force");
  }
  if (const ConfigRecord* competing = FindChangeBasedOn(stage.base)) {
    return Refuse(stage, ChangeResult::kConflict, competing,
                  "revision " + std::to_string(competing->revision.value) +
                      " by change " + competing->change.value + " came first");
  }
  if (stage.base != active_) {
    return Refuse(
        stage, ChangeResult::kStale, active(),
        "revision " + std::to_string(active_.value) + " is in force by now");
  }
  const Revision last =
      records_.empty() ? Revision() : records_.back().revision;
  staged_ = Revision(last.value + 1);
  records_.push_back(ConfigRecord{staged_,
                                  digest,
                                  stage.change,
                                  stage.base,
                                  ConfigState::kStaged,
                                  stage.at_us,
                                  stage.lease_us,
                                  stage.text,
                                  "",
                                  {}});
  accepted_[stage.change] = staged_;
  if (stage.activate_immediately) {
    Apply(ActivateConfig{staged_, stage.at_us});
  }
  TrimHistory();
  return AnswerTo(stage.change);
}

void ConfigHistory::Apply(const ActivateConfig& activate) {
  if (activate.revision != staged_ || staged_ == Revision()) {
    return;
  }
  if (ConfigRecord* previous = FindMutable(active_)) {
    previous->state = ConfigState::kSuperseded;
  }
  ConfigRecord* record = FindMutable(staged_);
  record->state = ConfigState::kActive;
  record->at_us = activate.at_us;
  active_ = std::exchange(staged_, Revision());
}

void ConfigHistory::Apply(const WithdrawConfig& withdraw) {
  if (withdraw.revision != staged_ || staged_ == Revision()) {
    return;
  }
  ConfigRecord* record = FindMutable(staged_);
  record->state = ConfigState::kWithdrawn;
  record->at_us = withdraw.at_us;
  record->detail = withdraw.detail;
  record->hosts = withdraw.hosts;
  staged_ = Revision();
}

ChangeAnswer ConfigHistory::AnswerTo(const ChangeId& change) const {
  const auto accepted = accepted_.find(change);
  if (accepted != accepted_.end()) {
    return AnswerFromRecord(*Find(accepted->second));
  }
  const auto refused = refused_.find(change);
  if (refused != refused_.end()) {
    ChangeAnswer answer = refused->second.answer;
    answer.active = active_;
    return answer;
  }
  return ChangeAnswer{ChangeResult::kUnknown, Revision(), Digest(), active_,
                      "no such change",       {}};
}

const ConfigRecord* ConfigHistory::Find(Revision revision) const {
  if (records_.empty() || revision < records_.front().revision ||
      revision > records_.back().revision) {
    return nullptr;
  }
  return &records_[revision.value - records_.front().revision.value];
}

ConfigRecord* ConfigHistory::FindMutable(Revision revision) {
  return const_cast<ConfigRecord*>(Find(revision));
}

ChangeAnswer ConfigHistory::AnswerFromRecord(const ConfigRecord& record) const {
  ChangeAnswer answer{ChangeResult::kActive, record.revision,
                      record.digest,         active_,
                      record.detail,         record.hosts};
  if (record.state == ConfigState::kStaged) {
    answer.result = ChangeResult::kStaged;
  } else if (record.state == ConfigState::kWithdrawn) {
    answer.result = ChangeResult::kWithdrawn;
  }
  return answer;
}

// Returns the digest of the file for which `change` was first used, or nothing
// if the change is not known.
std::optional<Digest> ConfigHistory::DigestOfChange(
    const ChangeId& change) const {
  const auto accepted = accepted_.find(change);
  if (accepted != accepted_.end()) {
    return Find(accepted->second)->digest;
  }
  const auto refused = refused_.find(change);
  if (refused != refused_.end()) {
    return refused->second.digest;
  }
  return std::nullopt;
}

// Returns the answer to a change that was sent before; a conflict if it was
// sent with another file.
ChangeAnswer ConfigHistory::RepeatedAnswer(const ChangeId& change,
                                           bool same_file) const {
  ChangeAnswer answer = AnswerTo(change);
  if (!same_file) {
    answer.result = ChangeResult::kConflict;
    answer.detail = "this change id was used for another file";
  }
  return answer;
}

ChangeAnswer ConfigHistory::Refuse(const StageConfig& stage,
                                   ChangeResult result,
                                   const ConfigRecord* reported_record,
                                   const std::string& detail) {
  ChangeAnswer answer{result, Revision(), Digest(), active_, detail, {}};
  if (reported_record != nullptr) {
    answer.revision = reported_record->revision;
    answer.digest = reported_record->digest;
  }
  if (stage.allow_retry_after_refusal) {
    return answer;
  }
  refused_[stage.change] = Refusal{DigestOf(stage.text), answer};
  refusal_order_.push_back(stage.change);
  while (refusal_order_.size() > kMaxRefusals) {
    refused_.erase(refusal_order_.front());
    refusal_order_.pop_front();
  }
  return answer;
}

// Returns the staged or active change whose base is `base`, or null.
const ConfigRecord* ConfigHistory::FindChangeBasedOn(Revision base) const {
  for (const ConfigRecord* record : {staged(), active()}) {
    if (record != nullptr && record->base == base) {
      return record;
    }
  }
  return nullptr;
}

// Bounds the memory of the history: drops the texts of old revisions first and
// whole records much later. The active file and the staged text are never
// dropped.
void ConfigHistory::TrimHistory() {
  size_t text_count = 0;
  size_t bytes = 0;
  for (auto record = records_.rbegin(); record != records_.rend(); ++record) {
    if (record->text.empty()) {
      break;  // all older texts were dropped before
    }
    bytes += record->text.size();
    const bool retained = ++text_count <= kMaxTexts && bytes <= kMaxTextBytes;
    if (!retained && record->revision != active_ &&
        record->revision != staged_) {
      std::string().swap(record->text);  // clear() would keep the memory
    }
  }
  while (records_.size() > kMaxRecords &&
         records_.front().revision != active_) {
    accepted_.erase(records_.front().change);
    records_.pop_front();
  }
}

void ConfigHistory::IndexChanges() {
  accepted_.clear();
  for (const ConfigRecord& record : records_) {
    accepted_[record.change] = record.revision;
  }
}

}  // namespace ibisvalve::control
