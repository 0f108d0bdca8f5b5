#include "control/lease_clock.h"

#include <glog/logging.h>

#include <algorithm>

namespace ibisvalve::control {
namespace {

constexpr size_t kMaxRecordedHeartbeats = 256;

}  // namespace

void LeaseClock::RecordHeartbeat(uint64_t number, Time now) {
  sent_.push_back(SentHeartbeat{number, now});
  if (sent_.size() > kMaxRecordedHeartbeats) {
    sent_.pop_front();
  }
}

void LeaseClock::RecordGrant(uint64_t number, Revision active, Duration lease) {
  while (!sent_.empty() && sent_.front().number < number) {
    sent_.pop_front();
  }
  if (sent_.empty() || sent_.front().number != number) {
    return;  // superseded by a later grant, or never recorded
  }
  confirmed_ = std::max(confirmed_, active);
  confirmed_until_ = std::max(confirmed_until_, sent_.front().at + lease);
  Renew();
}

void LeaseClock::RecordActivation(Revision revision) {
  CHECK_GE(revision.value, revision_.value)
      << "active revision must not decrease";
  revision_ = revision;
  Renew();
}

void LeaseClock::EndLease() {
  sent_.clear();
  confirmed_until_ = Time();
  until_ = Time();
}

void LeaseClock::Renew() {
  if (revision_ != Revision() && revision_ >= confirmed_) {
    until_ = std::max(until_, confirmed_until_);
  }
}

}  // namespace ibisvalve::control
