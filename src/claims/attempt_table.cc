#include "claims/attempt_table.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace ibisvalve::claims {
namespace {

size_t SizeInBytes(const StoredResponse& response) {
  size_t bytes = sizeof(response) + response.body.size();
  for (const auto& [name, value] : response.headers) {
    bytes += sizeof(response.headers.front()) + name.size() + value.size();
  }
  return bytes;
}

}  // namespace

AttemptTable::AttemptTable(const AttemptTableLimits& limits) : limits_(limits) {
  CHECK_GT(limits.ingresses, 0U);
  unkeyed_.max_entries = limits.entries;
  unkeyed_.max_response_bytes = limits.response_bytes;
  keyed_.max_entries = limits.keyed_entries;
  keyed_.max_response_bytes = limits.keyed_response_bytes;
}

AttemptPhase AttemptTable::Open(const AttemptId& id) {
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    return found->second.phase;
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
  const auto found = entries_.find(id);
  CHECK(found != entries_.end() &&
        found->second.phase == AttemptPhase::kRunning)
      << "attempt " << ToString(id) << " is not running";
  found->second.phase = AttemptPhase::kFinished;
  found->second.finished = std::move(finished);
  Enqueue(keyed ? keyed_ : unkeyed_, id);
}

AttemptPhase AttemptTable::Query(const AttemptId& id) {
  const AttemptPhase phase = Open(id);
  if (phase != AttemptPhase::kUnseen) {
    return phase;
  }
  Entry& entry = entries_.at(id);
  entry.phase = AttemptPhase::kFenced;
  entry.finished = {world::Outcome::kNotRun, world::Reason::kFenced, 0, {}};
  Enqueue(unkeyed_, id);
  return AttemptPhase::kFenced;
}

const FinishedAttempt* AttemptTable::Find(const AttemptId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ||
                 found->second.phase == AttemptPhase::kRunning
             ? nullptr
             : &found->second.finished;
}

bool AttemptTable::IsForgotten(const AttemptId& id) const {
  const auto mark = low_water_marks_.find({id.ingress, id.node});
  return mark == low_water_marks_.end() ? id.ingress <= last_forgotten_ingress_
                                        : id.counter <= mark->second.counter;
}

void AttemptTable::Enqueue(EvictionQueue& queue, const AttemptId& id) {
  queue.order.push_back(id);
  const Entry& entry = entries_.at(id);
  if (entry.finished.response != nullptr) {
    queue.with_response.push_back(id);
    queue.response_bytes += SizeInBytes(*entry.finished.response);
  }
  while (queue.response_bytes > queue.max_response_bytes) {
    EvictResponse(queue, AttemptId(queue.with_response.front()));
  }
  while (queue.order.size() > queue.max_entries) {
    const AttemptId oldest = queue.order.front();
    queue.order.pop_front();
    EvictResponse(queue, oldest);
    entries_.erase(oldest);
    RaiseLowWaterMark(oldest);
  }
}

void AttemptTable::EvictResponse(EvictionQueue& queue, const AttemptId& id) {
  std::shared_ptr<const StoredResponse>& response =
      entries_.at(id).finished.response;
  if (response == nullptr) {
    return;
  }
  // Both queues are ordered by finishing time, so the oldest attempt with a
  // response is at the front of this queue, too.
  CHECK(queue.with_response.front() == id);
  queue.with_response.pop_front();
  queue.response_bytes -= SizeInBytes(*response);
  response = nullptr;
}

void AttemptTable::RaiseLowWaterMark(const AttemptId& id) {
  if (!low_water_marks_.contains({id.ingress, id.node}) &&
      id.ingress <= last_forgotten_ingress_) {
    return;  // a new mark could be lower than the mark that was evicted
  }
  LowWaterMark& mark = low_water_marks_[{id.ingress, id.node}];
  mark.counter = std::max(mark.counter, id.counter);
  mark.last_raise = ++raise_count_;
  if (low_water_marks_.size() > limits_.ingresses) {
    EvictOldestMark();
  }
}

void AttemptTable::EvictOldestMark() {
  const auto oldest =
      std::min_element(low_water_marks_.begin(), low_water_marks_.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.last_raise < b.second.last_raise;
                       });
  last_forgotten_ingress_ =
      std::max(last_forgotten_ingress_, oldest->first.first);
  low_water_marks_.erase(oldest);
}

}  // namespace ibisvalve::claims
