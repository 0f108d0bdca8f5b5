#include "dataplane/gate.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "dataplane/events.h"
#include "dataplane/gate_checks.h"
#include "dataplane/gate_frames.h"
#include "dataplane/http_headers.h"
#include "dataplane/target_messages.h"

namespace ibisvalve::dataplane {
namespace {

using claims::AttemptPhase;
using claims::FinishedAttempt;
using world::Outcome;
using world::Reason;

constexpr Duration kQueueCheckInterval = std::chrono::milliseconds(2);
constexpr uint16_t kFirstServerError = 500;
// A load report of at most this age makes a probe unnecessary.
constexpr Duration kMaxLoadAge = std::chrono::milliseconds(10);
// How often a slowed target is probed. Its slow phase lasts some 100 ms, and
// the target is not used until its end is known.
constexpr Duration kSlowPhaseProbeInterval = std::chrono::milliseconds(40);
// Estimated bytes on the link of a request without its body, with the overhead
// of its frames.
constexpr uint64_t kFrameOverheadBytes = 600;

}  // namespace

Gate::Gate(net::EventLoop& loop,
           const PlaneSettings& settings,
           const FleetView& view,
           ClaimPort& claims,
           MemoryBudget& memory,
           CrashTracker& crashes,
           Handlers handlers)
    : loop_(loop),
      settings_(settings),
      view_(view),
      claims_(claims),
      memory_(memory),
      handlers_(std::move(handlers)),
      crashes_(crashes),
      admission_(MakeAdmissionSettings(view,
                                       settings.service,
                                       settings.slots,
                                       settings.names.load.empty())),
      attempt_table_(claims::AttemptTableLimits{}),
      client_(settings.target
                  ? std::make_unique<TargetClient>(loop,
                                                   *settings.target,
                                                   settings.names.request_id)
                  : nullptr),
      queue_timer_(loop, [this] { CheckQueue(); }),
      slow_phase_timer_(loop,
                        [this] {
                          ProbeLoad(loop_.Now() - kMaxLoadAge);
                          if (!load_.probing()) {
                            AdmitProbed();
                          }
                        }),
      uplink_(settings.link_mbps),
      slice_timer_(loop, [this] { SendSlices(); }),
      load_(loop,
            settings,
            client_.get(),
            {[this](const wire::Headers& headers) {
               target_limit_.OnNotice(
                   ParseTargetNotice(headers, settings_.names), "probe");
             },
             [this] { AdmitProbed(); }, handlers_.on_load_changed}),
      target_limit_(
          loop,
          settings,
          view,
          {[this](std::optional<double> per_second) {
             ApplyReleases(admission_.SetRate(per_second, loop_.Now()));
           },
           handlers_.on_load_changed, handlers_.on_target_leaves}),
      bodies_(loop, settings.link_mbps, [this](const wire::Credit& credit) {
        const GateAttempt* attempt = Find(credit.id);
        if (attempt != nullptr && attempt->port.send) {
          attempt->port.send(credit);
        }
      }) {}

Gate::~Gate() = default;

void Gate::Open(const wire::OpenAttempt& open, const ReplyPort& port) {
  if (open.gate != settings_.incarnation) {
    // The frame is addressed to another incarnation of this gate, which cannot
    // have received it, so the attempt has not run.
    port.send(wire::AttemptFailed{open.id,
                                  Outcome::kNotRun,
                                  Reason::kGateRestarted,
                                  view_.revision(),
                                  Hint(),
                                  std::nullopt,
                                  0,
                                  {}});
    return;
  }
  const AttemptPhase phase = attempt_table_.Open(open.id);
  if (phase != AttemptPhase::kUnseen) {
    ReplyFromTable(open.id, open.id, phase, port);
    return;
  }
  if (open.revision > view_.revision()) {
    handlers_.on_newer_revision(open.revision);
  }
  if (const std::optional<Reason> reason = FindRefusalReason(
          open, settings_, view_,
          held_ ? world::TargetState::kStarting : target_state_)) {
    Refuse(open, port, *reason);
    return;
  }
  crashes_.Learn({open.identity.resource, open.crashes});
  if (crashes_.IsQuarantined(open.identity)) {
    Refuse(open, port, Reason::kQuarantined);
    return;
  }
  auto created = std::make_unique<GateAttempt>();
  if (!created->memory.Reserve(
          memory_, std::max<uint64_t>(open.body_bytes, open.body.size()))) {
    Refuse(open, port, Reason::kMemory);
    return;
  }
  GateAttempt& attempt = *created;
  in_flight_.emplace(open.id, std::move(created));
  if (port.link != 0) {
    load_.OnBytesReceived(kFrameOverheadBytes + open.body.size());
  }
  attempt.open = open;
  attempt.port = port;
  attempt.opened = loop_.Now();
  attempt.deadline =
      loop_.Now() + Duration(static_cast<int64_t>(open.remaining_us));
  attempt.objective =
      loop_.Now() + Duration(static_cast<int64_t>(open.objective_us));
  attempt.deadline_timer = std::make_unique<net::Timer>(
      loop_, [this, id = open.id] { OnDeadline(id); });
  attempt.deadline_timer->StartOnce(attempt.deadline - loop_.Now());
  if (open.body_complete) {
    ProbeAndAdmit(attempt);
  } else {
    ReceiveBody(attempt);
  }
}

// Receives the rest of a body, unless there will be no slot for the attempt or
// its body arrives too late: its bytes would only delay others on the link.
void Gate::ReceiveBody(GateAttempt& attempt) {
  const wire::OpenAttempt& open = attempt.open;
  const Duration service(static_cast<int64_t>(open.expected_us));
  const uint64_t left = open.body_bytes - open.body.size();
  if (attempt.port.link == 0) {
    attempt.port.send(wire::Credit{open.id, static_cast<uint32_t>(left)});
    return;
  }
  const Time end = loop_.Now() + bodies_.TransferTime(left) + service;
  const bool no_slot =
      admission_.Preview(MakeAdmissionTerms(attempt, service), loop_.Now()) ==
      policy::Admission::Decision{policy::Admit::kRefuse, Reason::kBusy};
  if (end >= attempt.deadline) {
    Fail(attempt, Outcome::kNotRun, Reason::kDeadline);
  } else if (no_slot || (open.may_redirect && end > attempt.objective)) {
    Fail(attempt, Outcome::kNotRun, Reason::kBusy);
  } else {
    bodies_.Begin(open, attempt.objective);
  }
}

void Gate::Refuse(const wire::OpenAttempt& open,
                  const ReplyPort& port,
                  Reason reason) {
  const FinishedAttempt finished{Outcome::kNotRun, reason, 0, nullptr};
  attempt_table_.Finish(open.id, finished, false);
  counts_.Add(finished.outcome);
  LogAdmissionDecision(kAttemptRefused, open, reason, LogContext());
  Send(finished, open.id, port, crashes_.Find(open.identity.resource));
}

void Gate::AddBody(const wire::BodyPart& part) {
  GateAttempt* attempt = Find(part.id);
  if (attempt == nullptr || attempt->stage != AttemptStage::kReceiving) {
    return;
  }
  attempt->open.body += part.bytes;
  if (attempt->port.link != 0) {
    load_.OnBytesReceived(part.bytes.size());
    bodies_.OnReceived(part.id, part.bytes.size());
  }
  if (attempt->open.body.size() > attempt->open.body_bytes ||
      (part.last && attempt->open.body.size() != attempt->open.body_bytes)) {
    Fail(*attempt, Outcome::kNotRun, Reason::kBadRequest);
    return;
  }
  if (part.last) {
    attempt->redirect_cost = loop_.Now() - attempt->opened;
    bodies_.End(part.id);
    ProbeAndAdmit(*attempt);
  }
}

void Gate::Cancel(const AttemptId& id) {
  GateAttempt* attempt = Find(id);
  if (attempt == nullptr) {
    attempt_table_.Query(id);  // fences the attempt if it was never received
    return;
  }
  ++counts_.cancelled;
  attempt->port.send = nullptr;
  // A run that holds an idempotency key continues, because its caller may send
  // the request again and then needs the response.
  if (attempt->keyed() && attempt->may_have_reached_target()) {
    if (attempt->response != nullptr) {
      if (attempt->response->started()) {
        attempt->response->Discard();
      }
      FinishIfSent(id);
    }
    return;
  }
  Fail(
      *attempt,
      attempt->may_have_reached_target() ? Outcome::kUnknown : Outcome::kNotRun,
      Reason::kCancelled);
}

void Gate::AddCredit(const wire::Credit& credit) {
  GateAttempt* attempt = Find(credit.id);
  if (attempt == nullptr || attempt->response == nullptr) {
    return;
  }
  attempt->response->AddCredit(credit.bytes);
  QueueSlice(*attempt);
  if (attempt->call != nullptr) {
    attempt->call->SetReading(attempt->response->can_buffer_more());
  }
  FinishIfSent(credit.id);
}

void Gate::Query(const wire::QueryAttempt& query, const ReplyPort& port) {
  if (query.gate != settings_.incarnation) {
    port.send(wire::AttemptFailed{query.reply_as,
                                  Outcome::kUnknown,
                                  Reason::kGateRestarted,
                                  view_.revision(),
                                  Hint(),
                                  std::nullopt,
                                  0,
                                  {}});
    return;
  }
  const AttemptPhase phase = attempt_table_.Query(query.id);
  GateAttempt* attempt = Find(query.id);
  if (phase == AttemptPhase::kRunning && attempt != nullptr) {
    if (query.reply_as != query.id) {
      attempt->followers.push_back({query.reply_as, port});
    } else if (attempt->response != nullptr && attempt->response->started()) {
      // The part of the response that went out on the old link is not stored
      // and cannot be sent again.
      attempt->port = port;
      Fail(*attempt, Outcome::kUnknown, Reason::kLinkLost);
      return;
    } else if (attempt->stage == AttemptStage::kReceiving &&
               attempt->open.body.size() < attempt->open.body_bytes) {
      // The rest of the body was on the old link and does not arrive.
      attempt->port = port;
      Fail(*attempt, Outcome::kNotRun, Reason::kLinkLost);
      return;
    } else {
      attempt->port = port;
    }
  }
  if (phase == AttemptPhase::kFenced) {
    ++counts_.fenced;
  }
  ReplyFromTable(query.id, query.reply_as, phase, port);
}

void Gate::ReplyFromTable(const AttemptId& id,
                          const AttemptId& reply_as,
                          AttemptPhase phase,
                          const ReplyPort& port) {
  if (phase == AttemptPhase::kRunning) {
    port.send(wire::AttemptRunning{reply_as});
    return;
  }
  const FinishedAttempt* finished = attempt_table_.Find(id);
  Send(finished != nullptr
           ? *finished
           : FinishedAttempt{Outcome::kUnknown, Reason::kFenced, 0, {}},
       reply_as, port);
}

void Gate::OnLinkLost(uint64_t link) {
  std::vector<AttemptId> streaming;
  for (auto& [id, attempt] : in_flight_) {
    std::erase_if(attempt->followers, [&](const ResponseFollower& follower) {
      return follower.port.link == link;
    });
    if (attempt->port.link != link) {
      continue;
    }
    attempt->port.send = nullptr;
    const bool partly_sent =
        attempt->response != nullptr && attempt->response->started();
    if (partly_sent || attempt->stage == AttemptStage::kReceiving) {
      streaming.push_back(id);
    }
  }
  for (const AttemptId& id : streaming) {
    GateAttempt* attempt = Find(id);
    if (attempt != nullptr) {
      Fail(*attempt,
           attempt->stage == AttemptStage::kReceiving ? Outcome::kNotRun
                                                      : Outcome::kUnknown,
           Reason::kLinkLost);
    }
  }
}

bool Gate::HasAttemptsOnLink(uint64_t link) const {
  return std::any_of(
      in_flight_.begin(), in_flight_.end(),
      [&](const auto& entry) { return entry.second->port.link == link; });
}

void Gate::SetTargetState(world::TargetState state, uint32_t slots) {
  target_state_ = state;
  admission_.Configure(MakeAdmissionSettings(view_, settings_.service, slots,
                                             settings_.names.load.empty()));
  if (state != world::TargetState::kReady) {
    RefuseWaiting(state == world::TargetState::kDraining ? Reason::kDraining
                                                         : Reason::kTargetDown);
  }
}

void Gate::RefuseWaiting(Reason reason) {
  std::vector<AttemptId> waiting;
  for (const auto& [id, attempt] : in_flight_) {
    if (attempt->awaits_slot()) {
      waiting.push_back(id);
    }
  }
  for (const AttemptId& id : waiting) {
    if (GateAttempt* attempt = Find(id)) {
      Fail(*attempt, Outcome::kNotRun, reason);
    }
  }
}

void Gate::OnTargetEnded(bool departed) {
  for (const auto& [id, attempt] : in_flight_) {
    if (attempt->stage == AttemptStage::kRunning &&
        attempt->response == nullptr && !attempt->declined &&
        !std::exchange(attempt->crash_counted, true) && !departed) {
      crashes_.OnCrashDuringRun(attempt->open.identity,
                                attempt->connection_opened);
    }
  }
  // Runs that were given up; their connections are closed.
  for (const world::RequestIdentity& request : unanswered_.Take(loop_.Now())) {
    if (!departed) {
      crashes_.OnCrashDuringRun(request, std::nullopt);
    }
  }
}

void Gate::SetTargetRun(uint64_t run, const std::string& identity) {
  if (run != target_run_ || identity != target_identity_) {
    target_run_ = run;
    target_identity_ = identity;
    target_limit_.Reset(identity);
    load_.ForgetProbe();
    if (client_ != nullptr) {
      client_->CloseIdleConnections();
    }
  }
}

wire::LoadHint Gate::Hint() const {
  return MakeLoadHint(admission_, load_, bodies_.TransferTime(0),
                      view_.revision(), loop_.Now());
}

void Gate::Send(const FinishedAttempt& finished,
                const AttemptId& reply_as,
                const ReplyPort& port,
                const world::CrashRecord& crashes) const {
  SendAttemptResult(finished, reply_as, port, view_.revision(), Hint(),
                    crashes);
}

void Gate::Admit(GateAttempt& attempt) {
  attempt.stage = AttemptStage::kQueued;
  const policy::AdmissionTerms terms = MakeAdmissionTerms(
      attempt, load_.ExpectedServiceTime(attempt.open.expected_us));
  ApplyDecision(attempt, admission_.Arrive(terms, loop_.Now()));
}

void Gate::ApplyReleases(
    const std::vector<policy::Admission::Release>& released) {
  for (const policy::Admission::Release& release : released) {
    if (GateAttempt* attempt = Find(release.id)) {
      ApplyDecision(*attempt, release.decision);
    }
  }
}

void Gate::ApplyDecision(GateAttempt& attempt,
                         const policy::Admission::Decision& decision) {
  if (decision.admit == policy::Admit::kQueue) {
    LogAdmissionDecision(kAttemptWaits, attempt.open, decision.reason,
                         LogContext());
  }
  switch (decision.admit) {
    case policy::Admit::kQueue:
      if (!queue_timer_.running()) {
        queue_timer_.StartOnce(kQueueCheckInterval);
      }
      return;
    case policy::Admit::kRefuse:
      attempt.stage = AttemptStage::kReceiving;  // no longer in the queue
      Fail(attempt, Outcome::kNotRun, decision.reason);
      return;
    case policy::Admit::kRun:
      attempt.stage = AttemptStage::kClaiming;
      if (attempt.keyed()) {
        ClaimKey(attempt);
      } else {
        Dispatch(attempt);
      }
      return;
  }
}

void Gate::ClaimKey(GateAttempt& attempt) {
  const world::Service* service =
      world::FindService(*view_.fleet(), attempt.open.service);
  wire::ClaimRequest request;
  request.key = attempt.key();
  request.body = attempt.open.fingerprint;
  request.holder = ClaimHolderOf(attempt);
  if (service != nullptr) {
    request.retention_us =
        static_cast<uint64_t>(service->key_retention.count());
  }
  claims_.Claim(request, attempt.deadline - loop_.Now(),
                [this, id = attempt.open.id](const wire::ClaimReply& reply) {
                  return OnClaimed(id, reply);
                });
}

bool Gate::OnClaimed(const AttemptId& id, const wire::ClaimReply& reply) {
  GateAttempt* attempt = Find(id);
  if (attempt == nullptr || attempt->stage != AttemptStage::kClaiming) {
    return false;  // it finished while its claim was pending, and never runs
  }
  switch (reply.verdict) {
    case wire::ClaimVerdict::kGranted:
      Dispatch(*attempt);
      break;
    case wire::ClaimVerdict::kTaken:
      if (attempt->port.send) {
        attempt->port.send(wire::AttemptFailed{id,
                                               Outcome::kNotRun,
                                               Reason::kKeyClaimed,
                                               view_.revision(),
                                               Hint(),
                                               reply.holder,
                                               reply.status,
                                               {}});
        attempt->port.send = nullptr;
      }
      Fail(*attempt, Outcome::kNotRun, Reason::kKeyClaimed);
      break;
    case wire::ClaimVerdict::kMismatch:
      Fail(*attempt, Outcome::kNotRun, Reason::kKeyMismatch);
      break;
    case wire::ClaimVerdict::kUnavailable:
      Fail(*attempt, Outcome::kNotRun, Reason::kNoQuorum);
      break;
  }
  return true;
}

void Gate::Dispatch(GateAttempt& attempt) {
  attempt.stage = AttemptStage::kRunning;
  attempt.dispatched = loop_.Now();
  if (attempt.dispatched >= attempt.deadline) {
    Fail(attempt, Outcome::kNotRun, Reason::kDeadline);
    return;
  }
  // It may have been quarantined while it waited for a slot.
  if (crashes_.IsQuarantined(attempt.open.identity)) {
    Fail(attempt, Outcome::kNotRun, Reason::kQuarantined);
    return;
  }
  attempt.target_run = target_run_;
  attempt.stored_response = std::make_shared<claims::StoredResponse>();
  attempt.slowdown = load_.slowdown();
  load_.BeginRun(attempt.open.id, attempt.open.expected_us);
  ++counts_.dispatched;
  const AttemptId id = attempt.open.id;
  TargetRequest request =
      MakeTargetRequest(attempt, settings_, target_identity_);
  std::string().swap(attempt.open.body);
  attempt.call = client_->Call(
      request,
      {[this, id](const TargetHead& head) { OnTargetHead(id, head); },
       [this, id](const std::string& bytes) { OnTargetData(id, bytes); },
       [this, id] { OnTargetEnd(id); },
       [this, id](TargetFault fault, const std::string& why) {
         OnTargetFault(id, fault, why);
       }},
      attempt.open.may_repeat ? Reuse::kAny : Reuse::kRecentlyUsed);
  attempt.connection_opened = attempt.call->connection_opened_at();
}

void Gate::ProbeLoad(Time since) {
  if (target_state_ == world::TargetState::kReady) {
    load_.Probe(since);
  }
}

// Admits the attempts that waited for a load probe. If the target did not
// respond to the probe in time, its last reported load is used.
void Gate::AdmitProbed() {
  WatchSlowPhase();
  std::vector<AttemptId> waiting;
  for (const auto& [id, attempt] : in_flight_) {
    if (attempt->awaits_load_probe) {
      waiting.push_back(id);
    }
  }
  for (const AttemptId& id : waiting) {
    GateAttempt* attempt = Find(id);
    if (attempt != nullptr &&
        std::exchange(attempt->awaits_load_probe, false)) {
      if (!attempt->open.may_redirect || !SlowdownMissesObjective(*attempt)) {
        Admit(*attempt);
      } else if (loop_.Now() < attempt->opened + 2 * attempt->redirect_cost) {
        attempt->awaits_load_probe = true;  // a redirect takes longer
      } else {
        Fail(*attempt, Outcome::kNotRun, Reason::kSlow);
      }
    }
  }
}

// Probes a slowed target again soon: ingresses avoid it, so that no response
// would report the end of its slow phase.
void Gate::WatchSlowPhase() {
  if (load_.IsSlowed() && target_state_ == world::TargetState::kReady &&
      !slow_phase_timer_.running()) {
    slow_phase_timer_.StartOnce(kSlowPhaseProbeInterval);
  }
}

// Probes the target first if its last load report is stale. A run keeps the
// slowdown with which it starts, so a request that could be redirected to
// another target must not be started on an outdated load report.
void Gate::ProbeAndAdmit(GateAttempt& attempt) {
  attempt.awaits_load_probe = true;
  ProbeLoad(loop_.Now() - kMaxLoadAge);
  if (!load_.probing()) {
    AdmitProbed();
  }
}

bool Gate::SlowdownMissesObjective(const GateAttempt& attempt) const {
  return load_.IsSlowed() &&
         loop_.Now() + load_.ExpectedServiceTime(attempt.open.expected_us) >
             attempt.objective;
}

void Gate::OnTargetHead(const AttemptId& id, const TargetHead& head) {
  GateAttempt* attempt = Find(id);
  CHECK_NOTNULL(attempt);
  load_.UpdateFromHeaders(head.headers);
  unanswered_.OnResponse(attempt->dispatched);
  const bool of_current_run = attempt->target_run == target_run_;
  if (of_current_run) {
    target_limit_.OnNotice(ParseTargetNotice(head.headers, settings_.names),
                           "response");
  }
  WatchSlowPhase();
  if (ProvesNotRun(head, settings_.names)) {
    attempt->declined = true;
    if (head.status == kMisdirectedRequest && of_current_run) {
      handlers_.on_target_replaced();
    }
    return;
  }
  attempt->stored_response->status = head.status;
  attempt->stored_response->headers =
      EndToEndHeaders(head.headers, settings_.names);
  attempt->response = std::make_unique<ResponseSender>(
      id, [this, id](const GateReply& reply) { SendReply(id, reply); });
  if (uplink_.enabled() && attempt->port.link != 0) {
    attempt->response->SetSliced();
  }
  attempt->response->SetRunTiming(loop_.Now() - attempt->dispatched,
                                  attempt->slowdown);
  attempt->response->OnHead(head.status, attempt->stored_response->headers,
                            head.length);
}

void Gate::SendReply(const AttemptId& id, const GateReply& reply) {
  const GateAttempt* attempt = Find(id);
  if (attempt == nullptr || !attempt->port.send) {
    return;
  }
  if (attempt->port.link != 0) {
    uplink_.OnSent(kFrameOverheadBytes + BodyBytesIn(reply), loop_.Now());
  }
  attempt->port.send(reply);
}

// Lets the next slice of a large response wait for the uplink.
void Gate::QueueSlice(const GateAttempt& attempt) {
  if (attempt.response->wants_slice()) {
    uplink_.Add(attempt.open.id, attempt.response->unsent_bytes());
    slice_timer_.StartOnce(*uplink_.NextIn(loop_.Now()));
  }
}

void Gate::SendSlices() {
  while (const auto id = uplink_.TakeNext(loop_.Now())) {
    GateAttempt* attempt = Find(*id);
    if (attempt == nullptr || attempt->response == nullptr) {
      continue;  // it ended while it waited
    }
    attempt->response->GrantSlice(kMaxPartBytes);
    if (attempt->call != nullptr) {
      attempt->call->SetReading(attempt->response->can_buffer_more());
    }
    QueueSlice(*attempt);
    FinishIfSent(*id);
  }
  if (const auto wait = uplink_.NextIn(loop_.Now())) {
    slice_timer_.StartOnce(*wait);
  }
}

void Gate::OnTargetData(const AttemptId& id, const std::string& bytes) {
  GateAttempt* attempt = Find(id);
  CHECK_NOTNULL(attempt);
  if (attempt->declined) {
    return;
  }
  if (attempt->stored_response != nullptr) {
    attempt->stored_response->body += bytes;
    if (attempt->stored_response->body.size() > kMaxBufferedResponseBytes) {
      attempt->stored_response = nullptr;
    }
  }
  attempt->response->OnData(bytes);
  QueueSlice(*attempt);
  attempt->call->SetReading(attempt->response->can_buffer_more());
}

void Gate::OnTargetEnd(const AttemptId& id) {
  GateAttempt* attempt = Find(id);
  CHECK_NOTNULL(attempt);
  attempt->call = nullptr;
  if (attempt->declined) {
    Fail(*attempt, Outcome::kNotRun, Reason::kTargetRefused);
    return;
  }
  const uint16_t status = attempt->response->status();
  attempt->response->OnEnd(Hint());
  QueueSlice(*attempt);
  crashes_.OnResponse(attempt->open.identity, status);
  ReleaseSlot(*attempt, status,
              status >= kFirstServerError ? policy::RunResult::kFailed
                                          : policy::RunResult::kSucceeded);
  FinishIfSent(id);
}

void Gate::FinishIfSent(const AttemptId& id) {
  GateAttempt* attempt = Find(id);
  if (attempt == nullptr || attempt->stage != AttemptStage::kSending ||
      (!attempt->response->finished() && attempt->port.send)) {
    return;  // the rest is sent as the ingress and the uplink allow it
  }
  const FinishedAttempt finished{Outcome::kAnswered, Reason::kNone,
                                 attempt->response->status(),
                                 attempt->stored_response};
  for (const ResponseFollower& follower : attempt->followers) {
    Send(finished, follower.reply_as, follower.port);
  }
  Finish(*attempt, finished);
}

void Gate::OnTargetFault(const AttemptId& id,
                         TargetFault fault,
                         const std::string& why) {
  GateAttempt* attempt = Find(id);
  CHECK_NOTNULL(attempt);
  LogEvent(kTargetBroke,
           {{"attempt", ToString(id)},
            {"reached", fault == TargetFault::kNotReached ? "no" : "yes"},
            {"why", why}});
  const bool reached = fault != TargetFault::kNotReached;
  if (!reached) {
    --counts_.dispatched;
  }
  attempt->call = nullptr;
  if (attempt->declined) {
    // The target had proved that it did not run the request before it broke the
    // connection.
    Fail(*attempt, Outcome::kNotRun, Reason::kTargetRefused);
    return;
  }
  if (reached && !attempt->crash_counted && !handlers_.target_departs()) {
    crashes_.OnCrashDuringRun(attempt->open.identity,
                              attempt->connection_opened);
  }
  Fail(*attempt, reached ? Outcome::kUnknown : Outcome::kNotRun,
       reached ? Reason::kTargetBroke : Reason::kTargetDown);
  handlers_.on_target_fault();
}

void Gate::OnDeadline(const AttemptId& id) {
  GateAttempt* attempt = Find(id);
  CHECK_NOTNULL(attempt);
  const bool streaming =
      attempt->response != nullptr && attempt->response->started();
  if (streaming && attempt->port.send) {
    return;  // a response that is being streamed may exceed the deadline
  }
  Fail(
      *attempt,
      attempt->may_have_reached_target() ? Outcome::kUnknown : Outcome::kNotRun,
      Reason::kDeadline);
}

void Gate::Fail(GateAttempt& attempt, Outcome outcome, Reason reason) {
  const bool given_up =
      reason == Reason::kDeadline || reason == Reason::kCancelled;
  if (given_up && attempt.stage == AttemptStage::kRunning &&
      attempt.response == nullptr && !attempt.crash_counted) {
    unanswered_.Add(attempt.open.identity, attempt.dispatched, loop_.Now());
  }
  const FinishedAttempt finished{outcome, reason, 0, nullptr};
  if (attempt.port.send) {
    Send(finished, attempt.open.id, attempt.port,
         crashes_.Find(attempt.open.identity.resource));
  }
  for (const ResponseFollower& follower : attempt.followers) {
    Send(finished, follower.reply_as, follower.port);
  }
  Finish(attempt, finished);
}

// Frees the slot of a run that the target has finished or never receives, and
// admits the attempts that can run instead.
void Gate::ReleaseSlot(GateAttempt& attempt,
                       uint16_t status,
                       policy::RunResult end) {
  const AttemptId id = attempt.open.id;
  const Duration took = attempt.stage == AttemptStage::kRunning
                            ? loop_.Now() - attempt.dispatched
                            : Duration(0);
  attempt.stage = AttemptStage::kSending;
  load_.EndRun(id, end == policy::RunResult::kSucceeded);
  if (attempt.keyed() && status != 0) {
    claims_.Record(attempt.key(), ClaimHolderOf(attempt), status);
  }
  ApplyReleases(admission_.Finish(id, took, end, loop_.Now()));
}

void Gate::Finish(GateAttempt& attempt, FinishedAttempt finished) {
  const AttemptId id = attempt.open.id;
  if (attempt.stage == AttemptStage::kQueued) {
    admission_.Cancel(id);
  } else if (attempt.stage == AttemptStage::kReceiving) {
    bodies_.End(id);
  }
  const bool release_key = attempt.keyed() &&
                           attempt.may_have_reached_target() &&
                           finished.outcome == Outcome::kNotRun;
  if (release_key) {
    claims_.Release(attempt.key(), ClaimHolderOf(attempt));
  }
  counts_.Add(finished.outcome);
  if (!attempt.may_have_reached_target() &&
      finished.outcome == Outcome::kNotRun) {
    LogAdmissionDecision(kAttemptRefused, attempt.open, finished.reason,
                         LogContext());
  } else {
    LogAttemptEnd(attempt, finished, loop_.Now() - attempt.dispatched,
                  target_identity_, settings_.names);
  }
  const bool failed = finished.reason != Reason::kCancelled &&
                      (finished.outcome == Outcome::kUnknown ||
                       finished.reason == Reason::kTargetDown);
  attempt_table_.Finish(id, std::move(finished), attempt.keyed());
  // Keeps the object alive until the end of this method, because `attempt`
  // refers to it.
  const std::unique_ptr<GateAttempt> ended = std::move(in_flight_.at(id));
  in_flight_.erase(id);
  if (ended->holds_slot()) {
    ReleaseSlot(
        *ended, 0,
        failed ? policy::RunResult::kFailed : policy::RunResult::kAbandoned);
  }
}

wire::ClaimHolder Gate::ClaimHolderOf(const GateAttempt& attempt) const {
  return {attempt.open.id, settings_.id, settings_.incarnation};
}

void Gate::CheckQueue() {
  ApplyReleases(admission_.Expire(loop_.Now()));
  if (admission_.queued() > 0) {
    queue_timer_.StartOnce(kQueueCheckInterval);
  }
}

GateAttempt* Gate::Find(const AttemptId& id) {
  const auto found = in_flight_.find(id);
  return found == in_flight_.end() ? nullptr : found->second.get();
}

}  // namespace ibisvalve::dataplane
