#include "dataplane/crash_tracker.h"

#include <utility>

namespace ibisvalve::dataplane {
namespace {

// A connection that breaks within this time of the previous one is attributed
// to the same crash.
constexpr Duration kSameCrashInterval = std::chrono::milliseconds(100);

}  // namespace

CrashTracker::CrashTracker(net::EventLoop& loop,
                           const PlaneSettings& settings,
                           SendNotice send_notice)
    : loop_(loop), settings_(settings), send_notice_(std::move(send_notice)) {}

void CrashTracker::OnCrashDuringRun(Digest fingerprint) {
  const Time now = loop_.Now();
  if (crash_number_ == 0 || now - last_crash_ > kSameCrashInterval) {
    ++crash_number_;
  }
  last_crash_ = now;
  const wire::CrashNotice notice{
      settings_.id, settings_.incarnation, crash_number_, {fingerprint}};
  OnCrashNotice(notice);
  send_notice_(notice);
}

void CrashTracker::OnResponse(Digest fingerprint) {
  quarantine_.OnAnswer(fingerprint, loop_.Now());
}

void CrashTracker::OnCrashNotice(const wire::CrashNotice& notice) {
  const policy::CrashId crash{notice.gate, notice.incarnation, notice.number};
  const policy::CrashEffect effect =
      quarantine_.OnCrash(crash, notice.in_flight, loop_.Now());
  const auto log = [&](const EventCode& event, const Digest& fingerprint) {
    LogEvent(event, {{"fingerprint", ToHex(fingerprint)},
                     {"service", settings_.service.value},
                     {"gate", notice.gate.value},
                     {"crash", notice.number}});
  };
  if (effect.already_known) {
    for (const Digest& fingerprint : notice.in_flight) {
      log(policy::kCrashAlreadyKnown, fingerprint);
    }
  }
  for (const Digest& fingerprint : effect.suspected) {
    log(policy::kRequestSuspected, fingerprint);
  }
  for (const Digest& fingerprint : effect.quarantined) {
    log(policy::kRequestQuarantined, fingerprint);
  }
}

bool CrashTracker::IsQuarantined(Digest fingerprint) const {
  return quarantine_.Check(fingerprint, loop_.Now()) ==
         policy::Verdict::kQuarantined;
}

bool CrashTracker::Lift(Digest fingerprint) {
  const bool lifted = quarantine_.Lift(fingerprint, loop_.Now());
  if (lifted) {
    LogEvent(policy::kQuarantineLifted, {{"fingerprint", ToHex(fingerprint)}});
  }
  return lifted;
}

std::vector<policy::QuarantineEntry> CrashTracker::List() const {
  return quarantine_.List(loop_.Now());
}

}  // namespace ibisvalve::dataplane
