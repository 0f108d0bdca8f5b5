#include "dataplane/crash_tracker.h"

#include <algorithm>
#include <set>
#include <utility>

namespace ibisvalve::dataplane {
namespace {

// A connection that breaks within this time of the previous one is attributed
// to the same crash.
constexpr Duration kSameCrashInterval = std::chrono::milliseconds(100);
// A single announcement may have been sent before the crash and arrive late.
constexpr uint32_t kAnnouncementsToRefute = 2;
// Crashes of the local target that its announcements may still refute.
constexpr size_t kMaxOpenCrashes = 64;
// Records in one exchange with a peer, about 150 bytes each.
constexpr size_t kMaxSyncRecords = 256;

// Returns whether `crash` is the end of the process of `gate`, which may have
// ended with its target.
bool IsEndOf(const world::CrashId& crash, const NodeId& gate) {
  return crash.number == 0 && crash.gate == gate;
}

// Logs what a report of `crashes` crashes changed, the last of which is `last`.
void LogEffect(const policy::CrashEffect& effect,
               const world::CrashId& last,
               size_t crashes) {
  const auto log = [&](const EventCode& event,
                       const std::vector<Digest>& fingerprints) {
    for (const Digest& fingerprint : fingerprints) {
      LogEvent(event, {{"fingerprint", ToHex(fingerprint)},
                       {"gate", last.gate.value},
                       {"crash", last.number},
                       {"crashes", uint64_t{crashes}}});
    }
  };
  log(policy::kRequestSuspected, effect.suspected);
  log(policy::kRequestQuarantined, effect.quarantined);
  log(policy::kResourceQuarantined, effect.quarantined_resources);
  log(policy::kQuarantineLifted, effect.released);
  log(policy::kQuarantineLifted, effect.released_resources);
}

}  // namespace

CrashTracker::CrashTracker(net::EventLoop& loop,
                           const PlaneSettings& settings,
                           const FleetView& view,
                           SendNotice send_notice)
    : loop_(loop),
      settings_(settings),
      view_(view),
      send_notice_(std::move(send_notice)) {}

void CrashTracker::OnCrashDuringRun(const world::RequestIdentity& request,
                                    std::optional<Time> connection_opened) {
  const Time now = loop_.Now();
  world::CrashId crash{settings_.id, settings_.incarnation, crash_number_};
  // A target that accepted the connection, or answered the request, after the
  // last crash has crashed anew.
  if (crash_number_ == 0 || now - last_crash_ > kSameCrashInterval ||
      connection_opened > last_crash_ ||
      quarantine_.IsCleared(request, crash)) {
    crash.number = ++crash_number_;
  }
  last_crash_ = now;
  announced_since_[crash.number] = 0;
  if (announced_since_.size() > kMaxOpenCrashes) {
    announced_since_.erase(announced_since_.begin());
  }
  const policy::CrashEffect effect = quarantine_.OnCrash(crash, {request}, now);
  if (effect.already_known) {
    LogEvent(policy::kCrashAlreadyKnown,
             {{"fingerprint", ToHex(request.request)},
              {"gate", crash.gate.value},
              {"crash", crash.number}});
  }
  LogEffect(effect, crash, 1);
  send_notice_(settings_.service, {{Find(request.resource)}});
}

void CrashTracker::OnGateEnded(const GateRun& gate_run,
                               const ServiceName& service,
                               const world::RequestIdentity& request) {
  const Time now = loop_.Now();
  if (answers_.Contains(request.request, now)) {
    LogEvent(policy::kHarmlessInFlight,
             {{"fingerprint", ToHex(request.request)},
              {"gate", gate_run.gate.value}});
    return;
  }
  const world::CrashId crash{gate_run.gate, gate_run.incarnation, 0};
  const policy::CrashEffect effect = quarantine_.OnCrash(crash, {request}, now);
  if (!effect.already_known) {
    LogEffect(effect, crash, 1);
    RefuteOutlivedGates(Find(request.resource));
    send_notice_(service, {{Find(request.resource)}});
  }
}

void CrashTracker::OnTargetHeard() {
  std::set<uint64_t> refuted;
  for (auto& [number, announcements] : announced_since_) {
    if (++announcements >= kAnnouncementsToRefute) {
      refuted.insert(number);
    }
  }
  if (refuted.empty()) {
    return;
  }
  std::erase_if(announced_since_, [&](const auto& entry) {
    return refuted.contains(entry.first);
  });
  const std::vector<Digest> resources =
      Refute([&](const world::CrashId& crash) {
        return crash.gate == settings_.id &&
               crash.incarnation == settings_.incarnation &&
               refuted.contains(crash.number);
      });
  wire::CrashNotice notice;
  for (const Digest& resource : resources) {
    notice.records.push_back(Find(resource));
  }
  if (!notice.records.empty()) {
    send_notice_(settings_.service, notice);
  }
}

void CrashTracker::OnMember(const world::Member& member) {
  Refute([&](const world::CrashId& crash) {
    return IsEndOf(crash, member.id) &&
           world::TargetOutlived(member, crash.incarnation);
  });
}

// Ends the suspicion that rests on ends of gates, as far as their targets are
// known to have outlived them.
void CrashTracker::RefuteOutlivedGates(const world::CrashRecord& record) {
  for (const world::KnownCrash& crash : record.crashes) {
    const world::Member* member = view_.Find(crash.id.gate);
    if (member != nullptr && crash.id.number == 0) {
      OnMember(*member);
    }
  }
}

// Clears all requests of the crashes that `refutes` names. Returns the
// resources for which this changed anything.
std::vector<Digest> CrashTracker::Refute(
    const std::function<bool(const world::CrashId&)>& refutes) {
  std::vector<Digest> resources = quarantine_.Refute(refutes);
  for (const Digest& resource : resources) {
    LogEvent(policy::kCrashRefuted, {{"resource", ToHex(resource)}});
  }
  return resources;
}

void CrashTracker::OnResponse(const world::RequestIdentity& request,
                              uint16_t status) {
  if (Clear(request, status)) {
    send_notice_(settings_.service, {{Find(request.resource)}});
  }
}

void CrashTracker::OnRemoteResponse(const world::RequestIdentity& request,
                                    uint16_t status) {
  Clear(request, status);
}

// Clears the request and its resource of crashes if the response shows that it
// is harmless. Returns whether that changed anything.
bool CrashTracker::Clear(const world::RequestIdentity& request,
                         uint16_t status) {
  constexpr uint16_t kFirstServerError = 500;
  if (status >= kFirstServerError) {
    return false;
  }
  answers_.Add(request.request, loop_.Now());
  if (!quarantine_.OnAnswer(request, loop_.Now())) {
    return false;
  }
  LogEvent(policy::kSuspectCleared, {{"fingerprint", ToHex(request.request)},
                                     {"resource", ToHex(request.resource)},
                                     {"status", uint64_t{status}}});
  return true;
}

void CrashTracker::Learn(const world::CrashRecord& record) {
  if (!record.crashes.empty()) {
    LogEffect(quarantine_.Merge(record, loop_.Now()), record.crashes.back().id,
              record.crashes.size());
    RefuteOutlivedGates(record);
  }
}

void CrashTracker::OnNotice(const wire::CrashNotice& notice) {
  for (const world::CrashRecord& record : notice.records) {
    Learn(record);
  }
}

world::CrashRecord CrashTracker::Find(Digest resource) const {
  return quarantine_.Find(resource, loop_.Now());
}

bool CrashTracker::IsQuarantined(const world::RequestIdentity& request) const {
  return quarantine_.Check(request, loop_.Now()) ==
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

size_t CrashTracker::CountSuspects() const {
  return quarantine_.CountSuspects(loop_.Now());
}

Digest CrashTracker::SyncDigest() const {
  std::vector<world::CrashRecord> records = SyncRecords().records;
  std::sort(records.begin(), records.end());
  std::string text;
  for (const world::CrashRecord& record : records) {
    text += ToHex(world::DigestOf(record));
  }
  return DigestOf(text);
}

wire::CrashNotice CrashTracker::SyncRecords() const {
  return {quarantine_.RepeatedCrashRecords(kMaxSyncRecords, loop_.Now())};
}

std::vector<world::CrashRecord> CrashTracker::Corrections(
    const std::vector<world::CrashRecord>& told) const {
  std::vector<world::CrashRecord> corrections;
  for (const world::CrashRecord& record : told) {
    world::CrashRecord known = Find(record.resource);
    if (world::Clears(known, record)) {
      corrections.push_back(std::move(known));
    }
  }
  return corrections;
}

wire::CrashSyncReply CrashTracker::ReplyTo(const wire::CrashSync& sync) const {
  const Digest digest = SyncDigest();
  return {digest,
          sync.digest == digest ? std::vector<world::CrashRecord>()
                                : SyncRecords().records,
          false};
}

wire::CrashNotice CrashTracker::OnSyncReply(const wire::CrashSyncReply& reply) {
  OnNotice({reply.records});
  if (reply.correction || SyncDigest() == reply.digest) {
    return {};
  }
  // Crashes without their age, which differs from node to node.
  std::set<std::pair<Digest, world::KnownCrash>> known;
  const auto key = [](Digest resource, world::KnownCrash crash) {
    crash.age_us = 0;
    return std::pair(resource, crash);
  };
  for (const world::CrashRecord& record : reply.records) {
    for (const world::KnownCrash& crash : record.crashes) {
      known.insert(key(record.resource, crash));
    }
  }
  wire::CrashNotice missing;
  for (const world::CrashRecord& record : SyncRecords().records) {
    const bool complete =
        std::all_of(record.crashes.begin(), record.crashes.end(),
                    [&](const world::KnownCrash& crash) {
                      return known.contains(key(record.resource, crash));
                    });
    if (!complete) {
      missing.records.push_back(record);
    }
  }
  return missing;
}

}  // namespace ibisvalve::dataplane
