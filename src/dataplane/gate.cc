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

constexpr Duration kQueueTick = std::chrono::milliseconds(2);
constexpr uint16_t kFirstServerError = 500;
// A load report of at most this age makes a probe unnecessary.
constexpr Duration kLoadIsFresh = std::chrono::milliseconds(10);
// Estimated bytes on the link of a request without its body, with the overhead
// of its frames.
constexpr uint64_t kFrameBytes = 600;
// A request that may be redirected waits in the queue no longer than a redirect
// takes: the time to ask another gate, plus the time to transfer its body there
// for each KiB.
constexpr Duration kAskingElsewhere = std::chrono::milliseconds(10);
constexpr Duration kCarryingKib = std::chrono::milliseconds(5);

Duration PatienceFor(const wire::OpenAttempt& open) {
  constexpr uint64_t kBytesPerKib = 1024;
  return kAskingElsewhere +
         kCarryingKib * static_cast<int64_t>(open.body_bytes / kBytesPerKib);
}

}  // namespace

Gate::Gate(net::EventLoop& loop,
           const PlaneSettings& settings,
           const FleetView& view,
           ClaimPort& claims,
           MemoryBudget& memory,
           Handlers handlers)
    : loop_(loop),
      settings_(settings),
      view_(view),
      claims_(claims),
      memory_(memory),
      handlers_(std::move(handlers)),
      crashes_(loop, settings, handlers_.on_crash),
      admission_(AdmissionFor(view,
                              settings.service,
                              settings.slots,
                              settings.names.load.empty())),
      attempts_(claims::AttemptTableLimits{}),
      client_(settings.target
                  ? std::make_unique<TargetClient>(loop,
                                                   *settings.target,
                                                   settings.names.request_id)
                  : nullptr),
      queue_timer_(loop, [this] { ExpireQueue(); }),
      load_(loop,
            settings,
            client_.get(),
            {[this] { AdmitWaiting(); }, handlers_.on_load}) {}

Gate::~Gate() = default;

void Gate::Open(const wire::OpenAttempt& open, const ReplyPort& port) {
  if (open.gate != settings_.incarnation) {
    // The frame is addressed to another incarnation of this gate, which cannot
    // have received it, so the attempt has not run.
    port.send(wire::AttemptFailed{open.id, Outcome::kNotRun,
                                  Reason::kGateRestarted, view_.revision(),
                                  Hint(), std::nullopt, 0});
    return;
  }
  const AttemptPhase phase = attempts_.Open(open.id);
  if (phase != AttemptPhase::kUnseen) {
    ReplyKnown(open.id, open.id, phase, port);
    return;
  }
  if (open.revision > view_.revision()) {
    handlers_.on_newer_revision(open.revision);
  }
  if (const std::optional<Reason> reason =
          RefusalFor(open, settings_, view_, target_state_)) {
    Refuse(open, port, *reason);
    return;
  }
  if (crashes_.IsQuarantined(open.fingerprint)) {
    Refuse(open, port, Reason::kQuarantined);
    return;
  }
  auto made = std::make_unique<GateRun>();
  if (!made->memory.Take(
          memory_, std::max<uint64_t>(open.body_bytes, open.body.size()))) {
    Refuse(open, port, Reason::kMemory);
    return;
  }
  GateRun& run = *made;
  runs_.emplace(open.id, std::move(made));
  if (port.link != 0) {
    load_.Received(kFrameBytes + open.body.size());
  }
  run.open = open;
  run.port = port;
  run.deadline =
      loop_.Now() + Duration(static_cast<int64_t>(open.remaining_us));
  run.objective =
      loop_.Now() + Duration(static_cast<int64_t>(open.objective_us));
  run.deadline_timer = std::make_unique<net::Timer>(
      loop_, [this, id = open.id] { OnDeadline(id); });
  run.deadline_timer->StartOnce(run.deadline - loop_.Now());
  if (open.body_complete) {
    AdmitByLoad(run);
  }
}

void Gate::Refuse(const wire::OpenAttempt& open,
                  const ReplyPort& port,
                  Reason reason) {
  const FinishedAttempt finished{Outcome::kNotRun, reason, 0, nullptr};
  attempts_.Finish(open.id, finished, false);
  Count(finished);
  LogGateDecision(kAttemptRefused, open, reason, View());
  Send(finished, open.id, port);
}

void Gate::AddBody(const wire::BodyPart& part) {
  GateRun* run = Find(part.id);
  if (run == nullptr || run->stage != RunStage::kReceiving) {
    return;
  }
  run->open.body += part.bytes;
  if (run->port.link != 0) {
    load_.Received(part.bytes.size());
  }
  if (run->open.body.size() > run->open.body_bytes ||
      (part.last && run->open.body.size() != run->open.body_bytes)) {
    Fail(*run, Outcome::kNotRun, Reason::kBadRequest);
    return;
  }
  if (part.last) {
    AdmitByLoad(*run);
  } else if (run->port.send) {
    run->port.send(
        wire::Credit{part.id, static_cast<uint32_t>(part.bytes.size())});
  }
}

void Gate::Cancel(const AttemptId& id) {
  GateRun* run = Find(id);
  if (run == nullptr) {
    attempts_.Query(id);  // fences the attempt if it was never received
    return;
  }
  ++counts_.cancelled;
  run->port.send = nullptr;
  // A run that holds an idempotency key goes on, because its caller may send
  // the request again and then needs the answer.
  if (run->keyed() && run->reached()) {
    if (run->answer != nullptr && run->answer->started()) {
      run->answer->Discard();
      FinishIfSent(id);
    }
    return;
  }
  Fail(*run, run->reached() ? Outcome::kUnknown : Outcome::kNotRun,
       Reason::kCancelled);
}

void Gate::AddCredit(const wire::Credit& credit) {
  GateRun* run = Find(credit.id);
  if (run == nullptr || run->answer == nullptr) {
    return;
  }
  run->answer->AddCredit(credit.bytes);
  if (run->call != nullptr) {
    run->call->SetReading(run->answer->wants_more());
  }
  FinishIfSent(credit.id);
}

void Gate::Query(const wire::QueryAttempt& query, const ReplyPort& port) {
  if (query.gate != settings_.incarnation) {
    port.send(wire::AttemptFailed{query.reply_as, Outcome::kUnknown,
                                  Reason::kGateRestarted, view_.revision(),
                                  Hint(), std::nullopt, 0});
    return;
  }
  const AttemptPhase phase = attempts_.Query(query.id);
  GateRun* run = Find(query.id);
  if (phase == AttemptPhase::kRunning && run != nullptr) {
    if (query.reply_as != query.id) {
      run->followers.push_back({query.reply_as, port});
    } else if (run->answer != nullptr && run->answer->started()) {
      // The part of the answer that went out on the old link is not stored and
      // cannot be sent again.
      run->port = port;
      Fail(*run, Outcome::kUnknown, Reason::kLinkLost);
      return;
    } else {
      run->port = port;
    }
  }
  if (phase == AttemptPhase::kFenced) {
    ++counts_.fenced;
  }
  ReplyKnown(query.id, query.reply_as, phase, port);
}

void Gate::ReplyKnown(const AttemptId& id,
                      const AttemptId& reply_as,
                      AttemptPhase phase,
                      const ReplyPort& port) {
  if (phase == AttemptPhase::kRunning) {
    port.send(wire::AttemptRunning{reply_as});
    return;
  }
  const FinishedAttempt* known = attempts_.Find(id);
  Send(known != nullptr
           ? *known
           : FinishedAttempt{Outcome::kUnknown, Reason::kFenced, 0, {}},
       reply_as, port);
}

void Gate::OnLinkLost(uint64_t link) {
  std::vector<AttemptId> streaming;
  for (auto& [id, run] : runs_) {
    std::erase_if(run->followers, [&](const RunFollower& follower) {
      return follower.port.link == link;
    });
    if (run->port.link != link) {
      continue;
    }
    run->port.send = nullptr;
    const bool cut = run->answer != nullptr && run->answer->started();
    if (cut || run->stage == RunStage::kReceiving) {
      streaming.push_back(id);
    }
  }
  for (const AttemptId& id : streaming) {
    GateRun* run = Find(id);
    if (run != nullptr) {
      Fail(*run,
           run->stage == RunStage::kReceiving ? Outcome::kNotRun
                                              : Outcome::kUnknown,
           Reason::kLinkLost);
    }
  }
}

bool Gate::HasAttemptsOf(uint64_t link) const {
  return std::any_of(runs_.begin(), runs_.end(), [&](const auto& entry) {
    return entry.second->port.link == link;
  });
}

void Gate::SetTargetState(world::TargetState state, uint32_t slots) {
  target_state_ = state;
  admission_.Configure(AdmissionFor(view_, settings_.service, slots,
                                    settings_.names.load.empty()));
  if (state == world::TargetState::kReady) {
    return;
  }
  std::vector<AttemptId> waiting;
  for (const auto& [id, run] : runs_) {
    if (!run->holds_slot()) {
      waiting.push_back(id);
    }
  }
  for (const AttemptId& id : waiting) {
    if (GateRun* run = Find(id)) {
      Fail(*run, Outcome::kNotRun,
           state == world::TargetState::kDraining ? Reason::kDraining
                                                  : Reason::kTargetDown);
    }
  }
}

void Gate::SetTargetIdentity(const std::string& identity) {
  if (identity != target_identity_) {
    target_identity_ = identity;
    if (client_ != nullptr) {
      client_->DropIdle();
    }
  }
}

wire::LoadHint Gate::Hint() const {
  return HintOf(admission_, load_, view_.revision());
}

void Gate::Send(const FinishedAttempt& finished,
                const AttemptId& reply_as,
                const ReplyPort& port) const {
  SendFinished(finished, reply_as, port, view_.revision(), Hint());
}

void Gate::Admit(GateRun& run) {
  run.stage = RunStage::kQueued;
  const Time now = loop_.Now();
  policy::AdmissionTerms terms{run.open.id, run.deadline, run.objective};
  terms.expected = load_.Expected(run.open.expected_us);
  terms.priority = run.open.priority;
  if (run.open.may_move) {
    terms.patience = PatienceFor(run.open);
  }
  Decide(run, admission_.Arrive(terms, now));
}

void Gate::Apply(const std::vector<policy::Admission::Release>& released) {
  for (const policy::Admission::Release& release : released) {
    if (GateRun* run = Find(release.id)) {
      Decide(*run, release.decision);
    }
  }
}

void Gate::Decide(GateRun& run, const policy::Admission::Decision& decision) {
  if (decision.admit == policy::Admit::kQueue) {
    LogGateDecision(kAttemptWaits, run.open, decision.reason, View());
  }
  switch (decision.admit) {
    case policy::Admit::kQueue:
      if (!queue_timer_.running()) {
        queue_timer_.StartOnce(kQueueTick);
      }
      return;
    case policy::Admit::kRefuse:
      run.stage = RunStage::kReceiving;  // no longer in the queue
      Fail(run, Outcome::kNotRun, decision.reason);
      return;
    case policy::Admit::kRun:
      run.stage = RunStage::kClaiming;
      if (run.keyed()) {
        Claim(run);
      } else {
        Dispatch(run);
      }
      return;
  }
}

void Gate::Claim(GateRun& run) {
  const world::Service* service =
      world::FindService(*view_.fleet(), run.open.service);
  wire::ClaimRequest request;
  request.key = run.key();
  request.body = run.open.fingerprint;
  request.holder = HolderOf(run);
  if (service != nullptr) {
    request.retention_us =
        static_cast<uint64_t>(service->key_retention.count());
  }
  claims_.Claim(request, run.deadline - loop_.Now(),
                [this, id = run.open.id](const wire::ClaimReply& reply) {
                  return OnClaimed(id, reply);
                });
}

bool Gate::OnClaimed(const AttemptId& id, const wire::ClaimReply& reply) {
  GateRun* run = Find(id);
  if (run == nullptr || run->stage != RunStage::kClaiming) {
    return false;  // it finished while its claim was pending, and never runs
  }
  switch (reply.verdict) {
    case wire::ClaimVerdict::kGranted:
      Dispatch(*run);
      break;
    case wire::ClaimVerdict::kTaken:
      if (run->port.send) {
        run->port.send(wire::AttemptFailed{
            id, Outcome::kNotRun, Reason::kKeyClaimed, view_.revision(), Hint(),
            reply.holder, reply.status});
        run->port.send = nullptr;
      }
      Fail(*run, Outcome::kNotRun, Reason::kKeyClaimed);
      break;
    case wire::ClaimVerdict::kMismatch:
      Fail(*run, Outcome::kNotRun, Reason::kKeyMismatch);
      break;
    case wire::ClaimVerdict::kUnavailable:
      Fail(*run, Outcome::kNotRun, Reason::kNoQuorum);
      break;
  }
  return true;
}

void Gate::Dispatch(GateRun& run) {
  run.stage = RunStage::kRunning;
  run.dispatched = loop_.Now();
  if (run.dispatched >= run.deadline) {
    Fail(run, Outcome::kNotRun, Reason::kDeadline);
    return;
  }
  run.kept = std::make_shared<claims::KeptAnswer>();
  run.slowdown = load_.slowdown();
  load_.BeginRun(run.open.id, run.open.expected_us);
  ++counts_.dispatched;
  const AttemptId id = run.open.id;
  TargetRequest request = TargetRequestFor(run, settings_, target_identity_);
  std::string().swap(run.open.body);
  run.call = client_->Call(
      request,
      {[this, id](const TargetHead& head) { OnTargetHead(id, head); },
       [this, id](const std::string& bytes) { OnTargetData(id, bytes); },
       [this, id] { OnTargetEnd(id); },
       [this, id](TargetFault fault, const std::string& why) {
         OnTargetFault(id, fault, why);
       }},
      run.open.may_repeat ? Reuse::kAny : Reuse::kJustUsed);
}

void Gate::ProbeLoad(Time since) {
  if (target_state_ == world::TargetState::kReady) {
    load_.Probe(since);
  }
}

// Admits the attempts that waited for a load probe. If the target did not
// answer the probe in time, its last reported load is used.
void Gate::AdmitWaiting() {
  std::vector<AttemptId> waiting;
  for (const auto& [id, run] : runs_) {
    if (run->awaits_load) {
      waiting.push_back(id);
    }
  }
  for (const AttemptId& id : waiting) {
    GateRun* run = Find(id);
    if (run != nullptr && std::exchange(run->awaits_load, false)) {
      if (run->open.may_move && IsSlowFor(*run)) {
        Fail(*run, Outcome::kNotRun, Reason::kSlow);
      } else {
        Admit(*run);
      }
    }
  }
}

// Probes the target first if its last load report is stale. A run keeps the
// slowdown with which it starts, so a request that could be redirected to
// another target must not be started on an outdated load report.
void Gate::AdmitByLoad(GateRun& run) {
  run.awaits_load = true;
  ProbeLoad(loop_.Now() - kLoadIsFresh);
  if (!load_.probing()) {
    AdmitWaiting();
  }
}

bool Gate::IsSlowFor(const GateRun& run) const {
  return load_.IsSlowed() &&
         loop_.Now() + load_.Expected(run.open.expected_us) > run.objective;
}

void Gate::OnTargetHead(const AttemptId& id, const TargetHead& head) {
  GateRun* run = Find(id);
  CHECK_NOTNULL(run);
  load_.Note(head.headers);
  if (Declines(head, settings_.names)) {
    run->declined = true;
    if (head.status == kMisdirected) {
      handlers_.on_replaced();
    }
    return;
  }
  run->kept->status = head.status;
  run->kept->headers = EndToEnd(head.headers, settings_.names);
  run->answer =
      std::make_unique<AnswerSender>(id, [this, id](const GateReply& reply) {
        GateRun* sending = Find(id);
        if (sending != nullptr && sending->port.send) {
          sending->port.send(reply);
        }
      });
  run->answer->SetRun(loop_.Now() - run->dispatched, run->slowdown);
  run->answer->OnHead(head.status, run->kept->headers, head.length);
}

void Gate::OnTargetData(const AttemptId& id, const std::string& bytes) {
  GateRun* run = Find(id);
  CHECK_NOTNULL(run);
  if (run->declined) {
    return;
  }
  if (run->kept != nullptr) {
    run->kept->body += bytes;
    if (run->kept->body.size() > kHeldAnswerBytes) {
      run->kept = nullptr;
    }
  }
  run->answer->OnData(bytes);
  run->call->SetReading(run->answer->wants_more());
}

void Gate::OnTargetEnd(const AttemptId& id) {
  GateRun* run = Find(id);
  CHECK_NOTNULL(run);
  run->call = nullptr;
  if (run->declined) {
    Fail(*run, Outcome::kNotRun, Reason::kTargetRefused);
    return;
  }
  const uint16_t status = run->answer->status();
  run->answer->OnEnd(Hint());
  crashes_.OnAnswer(run->open.fingerprint);
  EndCall(*run, status,
          status >= kFirstServerError ? policy::RunEnd::kFailed
                                      : policy::RunEnd::kWell);
  FinishIfSent(id);
}

void Gate::FinishIfSent(const AttemptId& id) {
  GateRun* run = Find(id);
  if (run == nullptr || run->stage != RunStage::kSending ||
      (run->answer->started() && !run->answer->finished() && run->port.send)) {
    return;  // the rest is sent as the ingress grants credit
  }
  const FinishedAttempt finished{Outcome::kAnswered, Reason::kNone,
                                 run->answer->status(), run->kept};
  for (const RunFollower& follower : run->followers) {
    Send(finished, follower.reply_as, follower.port);
  }
  Finish(*run, finished);
}

void Gate::OnTargetFault(const AttemptId& id,
                         TargetFault fault,
                         const std::string& why) {
  GateRun* run = Find(id);
  CHECK_NOTNULL(run);
  LogEvent(kTargetBroke,
           {{"attempt", ToString(id)},
            {"reached", fault == TargetFault::kNotReached ? "no" : "yes"},
            {"why", why}});
  const bool reached = fault != TargetFault::kNotReached;
  if (!reached) {
    --counts_.dispatched;
  }
  run->call = nullptr;
  if (run->declined) {
    // The target had proved that it did not run the request before it broke the
    // connection.
    Fail(*run, Outcome::kNotRun, Reason::kTargetRefused);
    return;
  }
  if (reached) {
    crashes_.OnBroke(run->open.fingerprint);
  }
  Fail(*run, reached ? Outcome::kUnknown : Outcome::kNotRun,
       reached ? Reason::kTargetBroke : Reason::kTargetDown);
  handlers_.on_target_fault();
}

void Gate::OnDeadline(const AttemptId& id) {
  GateRun* run = Find(id);
  CHECK_NOTNULL(run);
  const bool flows = run->answer != nullptr && run->answer->started();
  if (flows && run->port.send) {
    return;  // an answer that is being streamed may exceed the deadline
  }
  Fail(*run, run->reached() ? Outcome::kUnknown : Outcome::kNotRun,
       Reason::kDeadline);
}

void Gate::Fail(GateRun& run, Outcome outcome, Reason reason) {
  const FinishedAttempt finished{outcome, reason, 0, nullptr};
  if (run.port.send) {
    Send(finished, run.open.id, run.port);
  }
  for (const RunFollower& follower : run.followers) {
    Send(finished, follower.reply_as, follower.port);
  }
  Finish(run, finished);
}

// Frees the slot of a run that the target has finished or never receives, and
// admits the attempts that can run instead.
void Gate::EndCall(GateRun& run, uint16_t status, policy::RunEnd end) {
  const AttemptId id = run.open.id;
  const Duration took = run.stage == RunStage::kRunning
                            ? loop_.Now() - run.dispatched
                            : Duration(0);
  run.stage = RunStage::kSending;
  load_.EndRun(id, end == policy::RunEnd::kWell);
  if (run.keyed() && status != 0) {
    claims_.Record(run.key(), HolderOf(run), status);
  }
  Apply(admission_.Finish(id, took, end, loop_.Now()));
}

void Gate::Finish(GateRun& run, FinishedAttempt finished) {
  const AttemptId id = run.open.id;
  if (run.stage == RunStage::kQueued) {
    admission_.Forget(id);
  }
  const bool release_key =
      run.keyed() && run.reached() && finished.outcome == Outcome::kNotRun;
  if (release_key) {
    claims_.Release(run.key(), HolderOf(run));
  }
  Count(finished);
  if (!run.reached() && finished.outcome == Outcome::kNotRun) {
    LogGateDecision(kAttemptRefused, run.open, finished.reason, View());
  } else {
    LogGateEnd(run, finished, loop_.Now() - run.dispatched, target_identity_,
               settings_.names);
  }
  const bool failed = finished.reason != Reason::kCancelled &&
                      (finished.outcome == Outcome::kUnknown ||
                       finished.reason == Reason::kTargetDown);
  attempts_.Finish(id, std::move(finished), run.keyed());
  // Keeps the object alive until the end of this method, because `run` refers
  // to it.
  const std::unique_ptr<GateRun> ended = std::move(runs_.at(id));
  runs_.erase(id);
  if (ended->holds_slot()) {
    EndCall(*ended, 0,
            failed ? policy::RunEnd::kFailed : policy::RunEnd::kAbandoned);
  }
}

void Gate::Count(const FinishedAttempt& finished) {
  switch (finished.outcome) {
    case Outcome::kAnswered:
      ++counts_.answered;
      return;
    case Outcome::kNotRun:
      ++counts_.refused;
      return;
    case Outcome::kUnknown:
      ++counts_.unknown;
      return;
  }
}

wire::ClaimHolder Gate::HolderOf(const GateRun& run) const {
  return {run.open.id, settings_.id, settings_.incarnation};
}

void Gate::ExpireQueue() {
  Apply(admission_.Expire(loop_.Now()));
  if (admission_.queued() > 0) {
    queue_timer_.StartOnce(kQueueTick);
  }
}

GateRun* Gate::Find(const AttemptId& id) {
  const auto found = runs_.find(id);
  return found == runs_.end() ? nullptr : found->second.get();
}

}  // namespace ibisvalve::dataplane
