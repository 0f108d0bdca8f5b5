#include "control/lease_clock.h"

#include <glog/logging.h>

#include <algorithm>

namespace ibisvalve::control {
namespace {

constexpr size_t kKeptHeartbeats = 256;

}  // namespace

void LeaseClock::Sent(uint64_t number, Time now) {
  sent_.push_back(SentAt{number, now});
  if (sent_.size() > kKeptHeartbeats) {
    sent_.pop_front();
  }
}

void LeaseClock::Granted(uint64_t number, Revision active, Duration lease) {
  while (!sent_.empty() && sent_.front().number < number) {
    sent_.pop_front();
  }
  if (sent_.empty() || sent_.front().number != number) {
    return;  // a grant for a later heartbeat came first, or unknown number
  }
  confirmed_ = std::max(confirmed_, active);
  confirmed_until_ = std::max(confirmed_until_, sent_.front().at + lease);
  Renew();
}

void LeaseClock::Activated(Revision revision) {
  CHECK_GE(revision.value, revision_.value)
      << "active revision must not decrease";
  revision_ = revision;
  Renew();
}

void LeaseClock::Drop() {
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
