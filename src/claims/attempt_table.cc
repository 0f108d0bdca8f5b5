#include "claims/attempt_table.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace ibisvalve::claims {
namespace {

size_t BytesOf(const KeptAnswer& answer) {
  size_t bytes = sizeof(answer) + answer.body.size();
  for (const auto& [name, value] : answer.headers) {
    bytes += sizeof(answer.headers.front()) + name.size() + value.size();
  }
  return bytes;
}

}  // namespace

AttemptTable::AttemptTable(const AttemptTableLimits& limits) : limits_(limits) {
  CHECK_GT(limits.ingresses, 0U);
  plain_.max_entries = limits.entries;
  plain_.max_answer_bytes = limits.answer_bytes;
  keyed_.max_entries = limits.keyed_entries;
  keyed_.max_answer_bytes = limits.keyed_answer_bytes;
}

AttemptPhase AttemptTable::Open(const AttemptId& id) {
  const auto known = entries_.find(id);
  if (known != entries_.end()) {
    return known->second.phase;
  }
  if (IsForgotten(id)) {
    return AttemptPhase::kForgotten;
  }
  entries_.emplace(id, Entry{});
  return AttemptPhase::kUnseen;
}

void AttemptTable::Finish(const AttemptId& id,
                          FinishedAttempt finished,
                          bool keyed) {
  const auto known = entries_.find(id);
  CHECK(known != entries_.end() &&
        known->second.phase == AttemptPhase::kRunning)
      << "attempt " << ToString(id) << " is not running";
  known->second.phase = AttemptPhase::kFinished;
  known->second.finished = std::move(finished);
  Keep(keyed ? keyed_ : plain_, id);
}

AttemptPhase AttemptTable::Query(const AttemptId& id) {
  const AttemptPhase phase = Open(id);
  if (phase != AttemptPhase::kUnseen) {
    return phase;
  }
  Entry& entry = entries_.at(id);
  entry.phase = AttemptPhase::kFenced;
  entry.finished = {world::Outcome::kNotRun, world::Reason::kFenced, 0, {}};
  Keep(plain_, id);
  return AttemptPhase::kFenced;
}

const FinishedAttempt* AttemptTable::Find(const AttemptId& id) const {
  const auto known = entries_.find(id);
  return known == entries_.end() ||
                 known->second.phase == AttemptPhase::kRunning
             ? nullptr
             : &known->second.finished;
}

bool AttemptTable::IsForgotten(const AttemptId& id) const {
  const auto mark = marks_.find({id.ingress, id.node});
  return mark == marks_.end() ? id.ingress <= forgotten_ingress_
                              : id.counter <= mark->second.counter;
}

void AttemptTable::Keep(Generation& generation, const AttemptId& id) {
  generation.order.push_back(id);
  const Entry& entry = entries_.at(id);
  if (entry.finished.answer != nullptr) {
    generation.with_answer.push_back(id);
    generation.answer_bytes += BytesOf(*entry.finished.answer);
  }
  while (generation.answer_bytes > generation.max_answer_bytes) {
    DropAnswer(generation, AttemptId(generation.with_answer.front()));
  }
  while (generation.order.size() > generation.max_entries) {
    const AttemptId oldest = generation.order.front();
    generation.order.pop_front();
    DropAnswer(generation, oldest);
    entries_.erase(oldest);
    RaiseMark(oldest);
  }
}

void AttemptTable::DropAnswer(Generation& generation, const AttemptId& id) {
  std::shared_ptr<const KeptAnswer>& answer = entries_.at(id).finished.answer;
  if (answer == nullptr) {
    return;
  }
  // Both queues are ordered by finishing time, so the oldest attempt with an
  // answer is at the front of this queue, too.
  CHECK(generation.with_answer.front() == id);
  generation.with_answer.pop_front();
  generation.answer_bytes -= BytesOf(*answer);
  answer = nullptr;
}

void AttemptTable::RaiseMark(const AttemptId& id) {
  if (!marks_.contains({id.ingress, id.node}) &&
      id.ingress <= forgotten_ingress_) {
    return;  // a new mark could be lower than the mark that was evicted
  }
  Mark& mark = marks_[{id.ingress, id.node}];
  mark.counter = std::max(mark.counter, id.counter);
  mark.used = ++mark_count_;
  if (marks_.size() > limits_.ingresses) {
    DropOldestMark();
  }
}

void AttemptTable::DropOldestMark() {
  const auto oldest = std::min_element(marks_.begin(), marks_.end(),
                                       [](const auto& a, const auto& b) {
                                         return a.second.used < b.second.used;
                                       });
  forgotten_ingress_ = std::max(forgotten_ingress_, oldest->first.first);
  marks_.erase(oldest);
}

}  // namespace ibisvalve::claims
