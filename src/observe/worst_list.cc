#include "observe/worst_list.h"

#include <glog/logging.h>

#include <algorithm>

namespace ibisvalve::observe {
namespace {

constexpr char kOthers[] = "others";

bool IsWorse(const WorstEntry& one, const WorstEntry& other) {
  if (one.bad != other.bad) {
    return one.bad > other.bad;
  }
  return one.requests > other.requests;
}

}  // namespace

WorstList::WorstList(size_t limit) : limit_(limit) {
  CHECK_GT(limit, 0U) << "WorstList needs a positive limit";
  others_.name = kOthers;
}

void WorstList::Add(const std::string& name, bool bad) {
  Add(WorstEntry{name, 1, bad ? 1U : 0U});
}

void WorstList::Add(const WorstEntry& entry) {
  if (entry.name == kOthers) {
    others_.requests += entry.requests;
    others_.bad += entry.bad;
    return;
  }
  const auto found = std::find_if(
      entries_.begin(), entries_.end(),
      [&](const WorstEntry& known) { return known.name == entry.name; });
  if (found != entries_.end()) {
    found->requests += entry.requests;
    found->bad += entry.bad;
    return;
  }
  entries_.push_back(entry);
  if (entries_.size() <= limit_) {
    return;
  }
  // Never evict the new name, so that a target that has just begun to fail can
  // move up. Evict the older name with the fewest bad requests instead.
  const auto least_bad =
      std::max_element(entries_.begin(), entries_.end() - 1, IsWorse);
  others_.requests += least_bad->requests;
  others_.bad += least_bad->bad;
  entries_.erase(least_bad);
}

void WorstList::Merge(const WorstList& other) {
  for (const WorstEntry& entry : other.entries_) {
    Add(entry);
  }
  Add(other.others_);
}

void WorstList::Clear() {
  entries_.clear();
  others_ = WorstEntry{kOthers, 0, 0};
}

std::vector<WorstEntry> WorstList::Sorted() const {
  std::vector<WorstEntry> sorted = entries_;
  std::sort(sorted.begin(), sorted.end(),
            [](const WorstEntry& one, const WorstEntry& other) {
              return IsWorse(one, other) ||
                     (!IsWorse(other, one) && one.name < other.name);
            });
  if (others_.requests > 0) {
    sorted.push_back(others_);
  }
  return sorted;
}

}  // namespace ibisvalve::observe
