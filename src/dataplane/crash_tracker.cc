#include "dataplane/crash_tracker.h"

#include <algorithm>
#include <map>
#include <utility>

namespace ibisvalve::dataplane {
namespace {

// A connection that breaks within this time of the previous one is attributed
// to the same crash.
constexpr Duration kSameCrashInterval = std::chrono::milliseconds(100);
// Records in one exchange with a peer, about 60 bytes each.
constexpr size_t kMaxSyncRecords = 256;

}  // namespace

CrashTracker::CrashTracker(net::EventLoop& loop,
                           const PlaneSettings& settings,
                           SendNotice send_notice)
    : loop_(loop), settings_(settings), send_notice_(std::move(send_notice)) {}

void CrashTracker::OnCrashDuringRun(Digest request) {
  const Time now = loop_.Now();
  if (crash_number_ == 0 || now - last_crash_ > kSameCrashInterval) {
    ++crash_number_;
  }
  last_crash_ = now;
  const world::CrashId crash{settings_.id, settings_.incarnation,
                             crash_number_};
  const policy::CrashEffect effect = quarantine_.OnCrash(crash, {request}, now);
  if (effect.already_known) {
    LogEvent(policy::kCrashAlreadyKnown, {{"fingerprint", ToHex(request)},
                                          {"gate", crash.gate.value},
                                          {"crash", crash.number}});
  }
  Log(effect, {request, {{crash, 0, false}}});
  send_notice_(settings_.service, {{Find(request)}});
}

void CrashTracker::OnGateEnded(const GateRun& gate_run,
                               const ServiceName& service,
                               Digest request) {
  const world::CrashId crash{gate_run.gate, gate_run.incarnation, 0};
  const policy::CrashEffect effect =
      quarantine_.OnCrash(crash, {request}, loop_.Now());
  if (!effect.already_known) {
    Log(effect, {request, {{crash, 0, false}}});
    send_notice_(service, {{Find(request)}});
  }
}

void CrashTracker::OnResponse(Digest request, uint16_t status) {
  if (Clear(request, status)) {
    send_notice_(settings_.service, {{Find(request)}});
  }
}

void CrashTracker::OnRemoteResponse(Digest request, uint16_t status) {
  Clear(request, status);
}

// Clears the request of its crashes if the response shows that it is harmless.
// Returns whether that changed anything.
bool CrashTracker::Clear(Digest request, uint16_t status) {
  constexpr uint16_t kFirstServerError = 500;
  if (status >= kFirstServerError ||
      !quarantine_.OnAnswer(request, loop_.Now())) {
    return false;
  }
  LogEvent(policy::kSuspectCleared,
           {{"fingerprint", ToHex(request)}, {"status", uint64_t{status}}});
  return true;
}

void CrashTracker::Learn(const world::CrashRecord& record) {
  if (!record.crashes.empty()) {
    Log(quarantine_.Merge(record, loop_.Now()), record);
  }
}

void CrashTracker::OnNotice(const wire::CrashNotice& notice) {
  for (const world::CrashRecord& record : notice.records) {
    Learn(record);
  }
}

world::CrashRecord CrashTracker::Find(Digest request) const {
  return quarantine_.Find(request, loop_.Now());
}

bool CrashTracker::IsQuarantined(Digest request) const {
  return quarantine_.Check(request, loop_.Now()) ==
         policy::Verdict::kQuarantined;
}

bool CrashTracker::Lift(Digest request) {
  const bool lifted = quarantine_.Lift(request, loop_.Now());
  if (lifted) {
    LogEvent(policy::kQuarantineLifted, {{"fingerprint", ToHex(request)}});
  }
  return lifted;
}

std::vector<policy::QuarantineEntry> CrashTracker::List() const {
  return quarantine_.List(loop_.Now());
}

size_t CrashTracker::CountSuspects() const {
  return quarantine_.CountSuspects(loop_.Now());
}

Digest CrashTracker::SyncDigest() const {
  std::vector<world::CrashRecord> records = SyncRecords().records;
  std::sort(records.begin(), records.end());
  std::string text;
  for (const world::CrashRecord& record : records) {
    text += ToHex(record.request);
    for (const world::KnownCrash& crash : record.crashes) {
      text += ' ' + crash.id.gate.value + '/' +
              std::to_string(crash.id.incarnation.value) + '/' +
              std::to_string(crash.id.number) + (crash.cleared ? "-" : "+");
    }
  }
  return DigestOf(text);
}

wire::CrashNotice CrashTracker::SyncRecords() const {
  return {quarantine_.QuarantineRecords(kMaxSyncRecords, loop_.Now())};
}

wire::CrashSyncReply CrashTracker::ReplyTo(const wire::CrashSync& sync) const {
  const Digest digest = SyncDigest();
  return {digest, sync.digest == digest ? std::vector<world::CrashRecord>()
                                        : SyncRecords().records};
}

wire::CrashNotice CrashTracker::OnSyncReply(const wire::CrashSyncReply& reply) {
  OnNotice({reply.records});
  if (SyncDigest() == reply.digest) {
    return {};
  }
  std::map<std::pair<Digest, world::CrashId>, bool> known;
  for (const world::CrashRecord& record : reply.records) {
    for (const world::KnownCrash& crash : record.crashes) {
      known[{record.request, crash.id}] = crash.cleared;
    }
  }
  wire::CrashNotice missing;
  for (const world::CrashRecord& record : SyncRecords().records) {
    const bool complete = std::all_of(
        record.crashes.begin(), record.crashes.end(),
        [&](const world::KnownCrash& crash) {
          const auto found = known.find({record.request, crash.id});
          return found != known.end() && found->second == crash.cleared;
        });
    if (!complete) {
      missing.records.push_back(record);
    }
  }
  return missing;
}

// Logs what a report changed; `cause` holds the crashes that it named.
void CrashTracker::Log(const policy::CrashEffect& effect,
                       const world::CrashRecord& cause) const {
  const world::CrashId& crash = cause.crashes.back().id;
  const auto log = [&](const EventCode& event, const Digest& request) {
    LogEvent(event, {{"fingerprint", ToHex(request)},
                     {"gate", crash.gate.value},
                     {"crash", crash.number},
                     {"crashes", uint64_t{cause.crashes.size()}}});
  };
  for (const Digest& request : effect.suspected) {
    log(policy::kRequestSuspected, request);
  }
  for (const Digest& request : effect.quarantined) {
    log(policy::kRequestQuarantined, request);
  }
  for (const Digest& request : effect.released) {
    log(policy::kQuarantineLifted, request);
  }
}

}  // namespace ibisvalve::dataplane
