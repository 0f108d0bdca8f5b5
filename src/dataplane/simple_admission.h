#pragma once

#include <algorithm>
#include <deque>
#include <vector>

#include "policy/policy.h"

namespace ibisvalve::dataplane {

/// Admission by declared slots alone, with a queue of bounded length and wait.
class SimpleAdmission {
 public:
  using Decision = policy::Admission::Decision;
  using Release = policy::Admission::Release;

  explicit SimpleAdmission(const policy::AdmissionSettings& settings)
      : settings_(settings) {}

  Decision Arrive(const AttemptId& id, Time deadline, Time now) {
    if (in_flight_ < settings_.slots) {
      ++in_flight_;
      return {policy::Admit::kRun, world::Reason::kNone};
    }
    if (queue_.size() >= settings_.max_queue) {
      return {policy::Admit::kRefuse, world::Reason::kBusy};
    }
    queue_.push_back({id, std::min(deadline, now + settings_.max_wait)});
    return {policy::Admit::kQueue, world::Reason::kNone};
  }

  std::vector<Release> Finish(const AttemptId&,
                              Duration service_time,
                              bool,
                              Time now) {
    --in_flight_;
    service_time_ = (service_time_ * 7 + service_time) / 8;
    std::vector<Release> released = Expire(now);
    while (!queue_.empty() && in_flight_ < settings_.slots) {
      ++in_flight_;
      released.push_back(
          {queue_.front().id, {policy::Admit::kRun, world::Reason::kNone}});
      queue_.pop_front();
    }
    return released;
  }

  void Forget(const AttemptId& id) {
    std::erase_if(queue_, [&](const Waiting& one) { return one.id == id; });
  }

  std::vector<Release> Expire(Time now) {
    std::vector<Release> late;
    std::erase_if(queue_, [&](const Waiting& one) {
      if (one.until > now) {
        return false;
      }
      late.push_back({one.id, {policy::Admit::kRefuse, world::Reason::kBusy}});
      return true;
    });
    return late;
  }

  void Configure(const policy::AdmissionSettings& settings) {
    settings_ = settings;
  }

  uint32_t in_flight() const { return in_flight_; }
  uint32_t queued() const { return static_cast<uint32_t>(queue_.size()); }
  uint32_t limit() const { return settings_.slots; }
  Duration service_time() const { return service_time_; }
  double failure_share() const { return 0; }

 private:
  struct Waiting {
    AttemptId id;
    Time until;
  };

  policy::AdmissionSettings settings_;
  std::deque<Waiting> queue_;
  uint32_t in_flight_ = 0;
  Duration service_time_{0};
};

}  // namespace ibisvalve::dataplane
