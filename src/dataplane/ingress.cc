#include "dataplane/ingress.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "dataplane/events.h"
#include "dataplane/http_headers.h"
#include "dataplane/ingress_log.h"
#include "dataplane/request_messages.h"
#include "dataplane/retry_rules.h"

namespace ibisvalve::dataplane {
namespace {

using world::Outcome;
using world::Reason;

// How long after the deadline of a non-repeatable request the ingress waits for
// its gate to report the outcome.
constexpr Duration kOutcomeGrace = std::chrono::milliseconds(50);
// Time to send the last responses before this node stops.
constexpr Duration kStopMargin = std::chrono::milliseconds(100);
// Delay before another attempt at the same gate while ingress and gate know
// different revisions or incarnations.
constexpr Duration kConvergenceDelay = std::chrono::milliseconds(10);
// A request is not retried after this many targets have closed the connection
// while they were processing it.
constexpr uint32_t kMaxBrokenTargets = 2;
constexpr uint16_t kFirstServerError = 500;
// A request waits at least this long for a token of its workspace's quota. A
// leader answers within some milliseconds.
constexpr Duration kMinQuotaPatience = std::chrono::milliseconds(50);

// Size of the headers both ways and a typical response body, in bytes.
constexpr size_t kTypicalOverheadBytes = 2500;
// Number of attempts of a request in which the gate may redirect it because
// another target may be faster.
constexpr uint32_t kMaxAttemptsWithRedirect = 3;
constexpr int kStatusTooLarge = 413;
constexpr int kStatusUnavailable = 503;
// Bounds the memory for refused callers that may return, about 100 bytes each.
constexpr size_t kMaxRefusedCallers = 1024;

}  // namespace

Ingress::Ingress(net::EventLoop& loop,
                 const PlaneSettings& settings,
                 const FleetView& view,
                 Gate& gate,
                 CrashTracker& crashes,
                 const PlaneHandlers& handlers)
    : loop_(loop),
      settings_(settings),
      view_(view),
      crashes_(crashes),
      handlers_(handlers),
      node_digest_(DigestOf(settings.id.value)),
      refused_callers_(kMaxRefusedCallers),
      candidates_(settings, view),
      policies_(settings.choice, settings.retries),
      gates_(loop,
             settings,
             view,
             gate,
             {[this](const NodeId& peer, GateReply reply) {
                OnReply(peer, std::move(reply));
              },
              [this](const NodeId& peer, const wire::LoadHint& hint) {
                candidates_.OnHint(peer, hint, loop_.Now());
              },
              [this](const NodeId& peer, uint64_t link, LinkFailure failure) {
                if (failure == LinkFailure::kSilent ||
                    failure == LinkFailure::kNotConnected) {
                  candidates_.OnUnreachable(peer, loop_.Now());
                }
                recovery_.OnLinkFailed(peer, link, failure);
              },
              [this](const NodeId& peer, Revision seen) {
                revisions_.OnSeen(peer, seen, loop_.Now());
              },
              [this](const wire::ActiveFile& file) {
                if (handlers_.on_file) {
                  handlers_.on_file(file);
                }
              },
              [this](const NodeId& peer, const wire::CrashSyncReply& reply) {
                crash_sync_.OnReply(peer, reply);
              }}),
      revisions_(view, handlers, gates_),
      crash_sync_(loop, settings, view, crashes, gates_),
      quotas_(loop, handlers.ask_quota),
      recovery_(
          loop,
          attempts_,
          gates_,
          settings.link_silence,
          [this](const AttemptId& id, Outcome outcome, Reason reason) {
            FailAttempt(id, outcome, reason);
          },
          [this](const AttemptIndex::Found& found) { OnGateEnded(found); }) {}

Ingress::~Ingress() = default;

void Ingress::OnRequest(const std::shared_ptr<CallerExchange>& exchange) {
  ++counts_.requests;
  if (view_.fleet() == nullptr) {
    RejectRequest(exchange, {Reason::kRevision, "no file is in force yet"}, {});
    return;
  }
  CallerRefusal refusal;
  const std::optional<CallerTerms> terms = ParseTerms(
      exchange->request(), *view_.fleet(), *view_.workspace_keys(),
      settings_.names, settings_.service,
      [this](const world::Route& route) {
        return candidates_.share_rotation().Next(route);
      },
      refusal);
  if (!terms) {
    RejectRequest(exchange, refusal, {});
  } else if (!view_.MayServe(terms->terms.repeat)) {
    RejectRequest(exchange, {Reason::kIsolated, "no keeper confirms the file"},
                  terms->service->name);
  } else if (!CanEndBeforeStop(*terms)) {
    RejectRequest(
        exchange,
        {Reason::kDraining, "this node stops before its deadline", true},
        terms->service->name);
  } else if (crashes_.IsQuarantined(terms->identity)) {
    LogCrashing(exchange->request(), terms->identity,
                crashes_.Find(terms->identity.resource), settings_);
    RejectRequest(exchange,
                  {Reason::kQuarantined, "the request has crashed targets"},
                  terms->service->name);
  } else {
    Accept(exchange, *terms);
  }
}

void Ingress::RejectMalformed(CallerExchange& exchange,
                              const net::HttpError& error) {
  if (error.status() == kStatusUnavailable) {
    LogRefused(exchange.request(), Reason::kMemory, error.what(), "",
               view_.revision(), settings_.names);
    SendFailureReply(
        exchange, settings_.names,
        {Outcome::kNotRun, Reason::kMemory, 0, 0, error.what(), true, {}});
    return;
  }
  const Reason reason = error.status() == kStatusTooLarge ? Reason::kTooLarge
                                                          : Reason::kBadRequest;
  exchange.Reply(error.status(),
                 OutcomeHeaders(settings_.names, Outcome::kNotRun, reason, 0),
                 std::string(error.what()) + "\n", true);
}

void Ingress::RejectRequest(const std::shared_ptr<CallerExchange>& exchange,
                            const CallerRefusal& refusal,
                            const ServiceName& service) {
  LogRefused(exchange->request(), refusal.reason, refusal.detail, service.value,
             view_.revision(), settings_.names);
  const int status = SendFailureReply(*exchange, settings_.names,
                                      {Outcome::kNotRun,
                                       refusal.reason,
                                       0,
                                       0,
                                       refusal.detail,
                                       refusal.close,
                                       {}});
  if (!service.empty() && handlers_.on_request) {
    RequestRecord record;
    record.service = service;
    record.reason = refusal.reason;
    record.status = static_cast<uint16_t>(status);
    handlers_.on_request(record);
  }
}

void Ingress::Accept(const std::shared_ptr<CallerExchange>& exchange,
                     const CallerTerms& terms) {
  auto request = std::make_shared<RequestState>();
  request->number = ++next_request_;
  request->exchange = exchange;
  request->fleet = view_.fleet();
  request->terms = terms;
  request->service_time_estimate = &service_time_estimates_[terms.kind];
  request->arrived = loop_.Now();
  request->deadline = request->arrived + terms.deadline;
  RestoreFirstArrival(*request);
  requests_[request->number] = request;
  AddTimers(request);
  if (request->repeatable()) {
    PolicyOf(*request).hedge.OnRequest(request->arrived);
  }
  AwaitQuota(request);
}

// Starts the request once its workspace's quota has a token for it, as long as
// its response can still be on time.
void Ingress::AwaitQuota(const RequestPtr& request) {
  const world::Workspace* workspace = request->terms.workspace;
  if (workspace == nullptr || !workspace->quota) {
    StartOrFail(request);
    return;
  }
  const Duration patience = std::max(
      request->objective() - loop_.Now() - request->ExpectedServiceTime(),
      kMinQuotaPatience);
  quotas_.Admit(
      workspace->name, patience,
      [this, weak = std::weak_ptr<RequestState>(request)](
          const QuotaDecision& decision) {
        const RequestPtr locked = weak.lock();
        if (locked == nullptr || !requests_.contains(locked->number)) {
          return false;
        }
        OnQuotaDecision(locked, decision);
        return true;
      });
}

void Ingress::OnQuotaDecision(const RequestPtr& request,
                              const QuotaDecision& decision) {
  if (decision.verdict == QuotaDecision::Verdict::kGranted) {
    request->quota_token = decision.expires;
    StartOrFail(request);
    return;
  }
  const bool over = decision.verdict == QuotaDecision::Verdict::kOver;
  request->quota_retry = over ? std::optional(decision.retry) : std::nullopt;
  FailRequest(request, Outcome::kNotRun,
              over ? Reason::kQuota : Reason::kNoQuorum);
}

bool Ingress::CanEndBeforeStop(const CallerTerms& terms) const {
  return !stop_time_ ||
         loop_.Now() + terms.deadline + kStopMargin < *stop_time_;
}

// Sets the arrival of the caller's first attempt.
void Ingress::RestoreFirstArrival(RequestState& request) {
  const std::optional<Time> first = refused_callers_.OnArrival(
      request.terms.fingerprint, request.caller_deadline());
  request.first_arrival = first.value_or(request.arrived);
  request.returned = first.has_value();
  counts_.returned += first ? 1 : 0;
}

void Ingress::AddTimers(const RequestPtr& request) {
  const std::weak_ptr<RequestState> weak = request;
  const auto bind = [this, weak](void (Ingress::*method)(const RequestPtr&)) {
    return [this, weak, method] {
      if (const RequestPtr locked = weak.lock()) {
        (this->*method)(locked);
      }
    };
  };
  request->deadline_timer =
      std::make_unique<net::Timer>(loop_, bind(&Ingress::OnDeadline));
  request->deadline_timer->StartOnce(request->terms.deadline);
  request->retry_timer =
      std::make_unique<net::Timer>(loop_, bind(&Ingress::StartOrFail));
  request->hedge_timer =
      std::make_unique<net::Timer>(loop_, bind(&Ingress::OnHedgeDue));
  request->exchange->SetOnDisconnect(bind(&Ingress::OnCallerDisconnected));
}

ServicePolicy& Ingress::PolicyOf(const RequestState& request) {
  return policies_.For(request.fleet, *request.terms.service);
}

// Starts an attempt, or fails the request if no target can be chosen.
void Ingress::StartOrFail(const RequestPtr& request) {
  if (!StartAttempt(request, false)) {
    FailRequest(
        request, Outcome::kNotRun,
        request->reason == Reason::kNone ? Reason::kNoTarget : request->reason);
    return;
  }
  if (const std::optional<Duration> delay = HedgeDelay(*request)) {
    request->hedge_timer->StartOnce(*delay);
  }
}

// Returns how long to wait for a response before a hedge is sent, or
// std::nullopt if the request must not be hedged.
std::optional<Duration> Ingress::HedgeDelay(const RequestState& request) {
  if (!request.repeatable() || request.terms.under_retry || request.hedged ||
      request.terms.max_attempts < 2) {
    return std::nullopt;
  }
  const Duration work = request.service_time_estimate->estimate();
  if (settings_.choice != policy::ChoiceKind::kExpectedValue ||
      work == Duration(0)) {
    return PolicyOf(request).hedge.Delay(loop_.Now());
  }
  return policy::HedgeDelayFor(work, request.objective() - loop_.Now());
}

policy::RequestTerms Ingress::TermsOf(const RequestState& request) const {
  constexpr double kBytesPerKib = 1024;
  const Time now = loop_.Now();
  return {request.objective() - now, request.deadline - now,
          request.ExpectedServiceTime(),
          static_cast<double>(request.exchange->request().body.size() +
                              kTypicalOverheadBytes) /
              kBytesPerKib};
}

bool Ingress::StartAttempt(const RequestPtr& request, bool hedge) {
  const std::optional<CandidateTable::Choice> choice = candidates_.Choose(
      *request->terms.service, PolicyOf(*request), TermsOf(*request),
      request->terms.regions, request->tried, loop_.Now());
  if (!choice) {
    return false;
  }
  if (!choice->worth_trying) {
    if (!hedge && request->reason == Reason::kNone) {
      request->reason = Reason::kBusy;
    }
    return false;
  }
  IngressAttempt& attempt = AddAttempt(request, choice->gate);
  attempt.hedge = hedge;
  ++request->attempts_made;
  ++counts_.attempts;
  request->tried.insert(choice->gate);
  wire::OpenAttempt open = MakeOpenAttempt(*request, attempt, settings_,
                                           view_.revision(), loop_.Now());
  open.identity = request->terms.identity;
  open.crashes = crashes_.Find(open.identity.resource).crashes;
  open.may_redirect = choice->has_alternative &&
                      request->attempts_made <= kMaxAttemptsWithRedirect;
  LogSent(*request, attempt, settings_.names, view_.revision(),
          candidates_.LastHint(choice->gate, loop_.Now()), loop_.Now());
  attempt.body_sent = open.body.size();
  attempt.body_credit =
      open.body_complete ? 0 : kUnsolicitedBodyBytes - kFirstBodyBytes;
  gates_.Send(attempt, open);
  SendBody(*request, attempt);
  return true;
}

// Sends a hedge to a second target if the first has sent no part of its
// response and the hedge budget allows it.
void Ingress::OnHedgeDue(const RequestPtr& request) {
  const bool waiting = request->attempts.size() == 1 && !request->committed &&
                       request->attempts.front()->relay->received_bytes() == 0;
  const bool allowed = request->attempts_offered + request->attempts.size() <
                       request->terms.max_attempts;
  if (!waiting || !allowed || request->broken_targets > 0 ||
      !PolicyOf(*request).hedge.TryTake(loop_.Now())) {
    return;
  }
  if (StartAttempt(request, true)) {
    ++counts_.hedges;
    request->hedged = true;
  }
}

IngressAttempt& Ingress::AddAttempt(const RequestPtr& request,
                                    const NodeId& gate) {
  auto attempt = std::make_unique<IngressAttempt>();
  attempt->id = {settings_.incarnation, ++next_attempt_, node_digest_};
  attempt->gate = gate;
  attempt->started = loop_.Now();
  attempt->relay = std::make_unique<ResponseRelay>(
      request->exchange, RelayHandlers(request, attempt->id));
  gates_.AssignLink(*attempt);
  candidates_.BeginAttempt(gate);
  return attempts_.Add(request, std::move(attempt));
}

ResponseRelay::Handlers Ingress::RelayHandlers(const RequestPtr& request,
                                               const AttemptId& id) {
  const std::weak_ptr<RequestState> weak = request;
  ResponseRelay::Handlers handlers;
  handlers.outcome_headers = [this, weak] {
    const RequestPtr locked = weak.lock();
    return OutcomeHeaders(settings_.names, Outcome::kAnswered, Reason::kNone,
                          locked == nullptr ? 0 : locked->attempts_made);
  };
  handlers.on_sent = [this, id](uint32_t bytes) {
    const AttemptIndex::Found found = attempts_.Find(id);
    if (found.attempt != nullptr) {
      gates_.Send(*found.attempt, wire::Credit{id, bytes});
    }
  };
  handlers.on_committed = [this, weak, id] {
    if (const RequestPtr locked = weak.lock()) {
      locked->committed = true;
      CancelAttempts(locked, &id);
    }
  };
  return handlers;
}

void Ingress::SendBody(const RequestState& request, IngressAttempt& attempt) {
  const std::string& body = request.exchange->request().body;
  while (attempt.body_sent < body.size() && attempt.body_credit > 0) {
    const size_t size =
        std::min<size_t>({kMaxPartBytes, body.size() - attempt.body_sent,
                          static_cast<size_t>(attempt.body_credit)});
    wire::BodyPart part{attempt.id, body.substr(attempt.body_sent, size),
                        false};
    attempt.body_sent += size;
    attempt.body_credit -= size;
    part.last = attempt.body_sent == body.size();
    gates_.Send(attempt, part);
  }
}

void Ingress::OnReply(const NodeId& gate, GateReply reply) {
  const AttemptId id =
      std::visit([](const auto& frame) { return frame.id; }, reply);
  const AttemptIndex::Found found = attempts_.Find(id);
  if (found.attempt == nullptr || found.attempt->gate != gate) {
    return;  // the attempt has already ended
  }
  try {
    std::visit([&](auto& frame) { HandleReply(found, std::move(frame)); },
               reply);
  } catch (const wire::WireError&) {
    // The frames do not form a complete response, so the caller must not get
    // one that looks complete.
    FailAttempt(id, Outcome::kUnknown, Reason::kTargetBroke);
  }
}

void Ingress::HandleReply(const AttemptIndex::Found& found,
                          wire::AnswerHead head) {
  candidates_.OnHint(found.attempt->gate, head.hint, loop_.Now());
  revisions_.OnSeen(found.attempt->gate, head.hint.revision, loop_.Now());
  const AttemptId id = found.attempt->id;
  found.attempt->service_time = Duration(static_cast<int64_t>(head.ran_us));
  found.attempt->slowdown = wire::FromPercent(head.slowdown_percent);
  if (found.attempt->relay->OnHead(std::move(head))) {
    OnResponseComplete(found.request, id);
  }
}

void Ingress::HandleReply(const AttemptIndex::Found& found,
                          const wire::AnswerPart& part) {
  const AttemptId id = found.attempt->id;
  if (found.attempt->relay->OnPart(part)) {
    OnResponseComplete(found.request, id);
  }
}

void Ingress::HandleReply(const AttemptIndex::Found& found,
                          const wire::AttemptFailed& failed) {
  const IngressAttempt& attempt = *found.attempt;
  candidates_.OnHint(attempt.gate, failed.hint, loop_.Now());
  revisions_.OnSeen(attempt.gate, failed.revision, loop_.Now());
  crashes_.Learn({found.request->terms.identity.resource, failed.crashes});
  if (failed.outcome == Outcome::kUnknown &&
      failed.reason == Reason::kGateRestarted) {
    OnGateEnded(found);
  }
  if (failed.claimed_status != 0) {
    found.request->first_status = failed.claimed_status;
  }
  if (failed.reason == Reason::kKeyClaimed && failed.holder &&
      !attempt.awaited) {
    DropAttempt(AttemptId(attempt.id));
    AwaitClaimHolder(found.request, *failed.holder, failed.claimed_status);
    return;
  }
  FailAttempt(AttemptId(attempt.id), failed.outcome, failed.reason);
}

// The target may have ended with its gate, and then nobody else reports it.
void Ingress::OnGateEnded(const AttemptIndex::Found& found) {
  if (!found.attempt->awaited) {
    crashes_.OnGateEnded({found.attempt->gate, found.attempt->gate_incarnation},
                         found.request->terms.service->name,
                         found.request->terms.identity);
  }
}

void Ingress::HandleReply(const AttemptIndex::Found& found,
                          const wire::AttemptRunning&) {
  found.attempt->needs_query = false;
}

void Ingress::HandleReply(const AttemptIndex::Found& found,
                          const wire::Credit& credit) {
  found.attempt->body_credit += credit.bytes;
  SendBody(*found.request, *found.attempt);
}

void Ingress::OnResponseComplete(const RequestPtr& request,
                                 const AttemptId& id) {
  const IngressAttempt& winner = *attempts_.Find(id).attempt;
  const Time now = loop_.Now();
  RequestRecord record;
  record.gate = winner.gate;
  record.outcome = Outcome::kAnswered;
  record.status = winner.relay->status();
  crashes_.OnRemoteResponse(request->terms.identity, record.status);
  ServicePolicy& policy = PolicyOf(*request);
  policy.retries.Deposit(now);
  const bool failed = record.status >= kFirstServerError;
  if (winner.service_time > Duration(0)) {
    request->service_time_estimate->Add(
        winner.service_time, winner.slowdown,
        failed ? policy::RunResult::kFailed : policy::RunResult::kSucceeded);
  }
  policy.hedge.OnAnswer(now - winner.started, now);
  if (policy.ejection.OnResult(winner.gate, failed, now)) {
    LogEvent(policy::kTargetEjected, {{"target", winner.gate.value}});
  }
  counts_.returned_answered += request->returned ? 1 : 0;
  CancelAttempts(request, &id);
  FinishRequest(request, record);
}

// Ends an attempt that got no response, and retries or fails its request.
void Ingress::FailAttempt(const AttemptId& id, Outcome outcome, Reason reason) {
  const AttemptIndex::Found found = attempts_.Find(id);
  const RequestPtr request = found.request;
  const bool was_awaiting = found.attempt->awaited.has_value();
  const bool was_committed = found.attempt->relay->committed();
  const NodeId gate = found.attempt->gate;
  DropAttempt(id);
  request->reason = reason;
  request->may_have_run |= outcome == Outcome::kUnknown;
  request->attempts_offered +=
      outcome == Outcome::kUnknown || reason == Reason::kTargetRefused ? 1 : 0;
  if (reason == Reason::kTargetBroke) {
    ++request->broken_targets;
    LogCrashing(request->exchange->request(), request->terms.identity,
                crashes_.Find(request->terms.identity.resource), settings_);
  }
  if (outcome == Outcome::kUnknown && reason != Reason::kDeadline &&
      PolicyOf(*request).ejection.OnResult(gate, true, loop_.Now())) {
    LogEvent(policy::kTargetEjected, {{"target", gate.value}});
  }
  if (was_committed || was_awaiting) {
    FailRequest(request, was_committed ? Outcome::kUnknown : outcome, reason);
  } else if (request->attempts.empty()) {  // no other attempt is in flight
    RetryOrFail(request, gate, outcome, reason);
  }
}

// Retries the request if the retry rules allow it, otherwise fails it.
void Ingress::RetryOrFail(const RequestPtr& request,
                          const NodeId& gate,
                          Outcome outcome,
                          Reason reason) {
  const Time now = loop_.Now();
  RetryRule rule = RetryRuleFor(
      outcome, reason, request->repeatable(), request->terms.under_retry,
      {request->attempts_made, request->attempts_offered,
       request->terms.max_attempts});
  if (now >= request->deadline ||
      request->broken_targets >= kMaxBrokenTargets ||
      crashes_.IsQuarantined(request->terms.identity) ||
      (rule == RetryRule::kBudgeted &&
       !PolicyOf(*request).retries.TryTake(now))) {
    rule = RetryRule::kNever;
  }
  if (rule == RetryRule::kNever) {
    FailRequest(request, outcome, reason);
    return;
  }
  ++counts_.retries;
  if (rule == RetryRule::kAfterDelay) {
    request->tried.erase(gate);
    request->retry_timer->StartOnce(kConvergenceDelay);
  } else {
    StartOrFail(request);
  }
}

// Waits for the response of the earlier attempt that holds the request's
// idempotency key.
void Ingress::AwaitClaimHolder(const RequestPtr& request,
                               const wire::ClaimHolder& holder,
                               uint16_t status) {
  request->first_status = status;
  if (view_.Find(holder.gate) == nullptr && holder.gate != settings_.id) {
    FailRequest(request, Outcome::kUnknown, Reason::kKeyClaimed);
    return;
  }
  IngressAttempt& attempt = AddAttempt(request, holder.gate);
  attempt.gate_incarnation = holder.gate_incarnation;
  attempt.awaited = holder.attempt;
  gates_.Send(attempt, wire::QueryAttempt{holder.attempt,
                                          holder.gate_incarnation, attempt.id});
}

void Ingress::OnDeadline(const RequestPtr& request) {
  if (request->committed) {
    CheckStall(request);
    return;
  }
  if (!request->attempts.empty() && !request->repeatable() &&
      !request->in_grace) {
    request->in_grace = true;
    request->deadline_timer->StartOnce(kOutcomeGrace);
    return;
  }
  request->may_have_run |= !request->attempts.empty();
  FailRequest(request, Outcome::kNotRun, Reason::kDeadline);
}

// Ends a request whose response was begun before its deadline and does not move
// on. A response that does may end later.
void Ingress::CheckStall(const RequestPtr& request) {
  if (request->HasStalled(loop_.Now())) {
    FailRequest(request, Outcome::kUnknown, Reason::kDeadline);
  } else {
    request->deadline_timer->StartOnce(kTargetStallTimeout);
  }
}

void Ingress::OnCallerDisconnected(const RequestPtr& request) {
  ++counts_.hung_up;
  RequestRecord record;
  record.hung_up = true;
  record.outcome = request->attempts.empty() && !request->may_have_run
                       ? Outcome::kNotRun
                       : Outcome::kUnknown;
  record.reason = Reason::kCancelled;
  CancelAttempts(request, nullptr);
  FinishRequest(request, record);
}

// Cancels every attempt in flight except `except`, which may be null.
void Ingress::CancelAttempts(const RequestPtr& request,
                             const AttemptId* except) {
  for (size_t i = request->attempts.size(); i-- > 0;) {
    const IngressAttempt& attempt = *request->attempts[i];
    if (except != nullptr && attempt.id == *except) {
      continue;
    }
    if (!attempt.awaited) {
      gates_.Send(attempt, wire::CancelAttempt{attempt.id});
    }
    DropAttempt(AttemptId(attempt.id));
  }
}

void Ingress::DropAttempt(const AttemptId& id) {
  // The caller of this method may be the attempt's relay, so the attempt is
  // destroyed later, from the event loop.
  std::shared_ptr<IngressAttempt> dropped = attempts_.Remove(id);
  candidates_.EndAttempt(dropped->gate);
  gates_.ReleaseLink(*dropped);
  loop_.Post([dropped] {});
}

// Ends a request without a complete response: reports the outcome to the
// caller, or closes its connection if part of a response may have been sent.
void Ingress::FailRequest(const RequestPtr& request,
                          Outcome outcome,
                          Reason reason) {
  if (request->may_have_run) {
    outcome = Outcome::kUnknown;
  }
  CancelAttempts(request, nullptr);
  RequestRecord record;
  record.outcome = outcome;
  record.reason = reason;
  if (request->committed && !request->exchange->Retract()) {
    request->exchange->Abort();
    FinishRequest(request, record);
    return;
  }
  if (outcome == Outcome::kNotRun) {
    refused_callers_.OnRefused(request->terms.fingerprint,
                               request->first_arrival,
                               request->caller_deadline());
  }
  record.status = static_cast<uint16_t>(SendFailureReply(
      *request->exchange, settings_.names,
      {outcome, reason, request->attempts_made, request->first_status,
       world::ToString(outcome) + ": " + world::ToString(reason), false,
       request->quota_retry ? request->quota_retry
       : outcome == Outcome::kNotRun
           ? policy::RetryAfter({request->deadline - loop_.Now(),
                                 request->objective() - loop_.Now(),
                                 request->ExpectedServiceTime()},
                                candidates_.random())
           : std::nullopt}));
  FinishRequest(request, record);
}

void Ingress::FinishRequest(const RequestPtr& request, RequestRecord record) {
  record.service = request->terms.service->name;
  if (const world::Member* gate = view_.Find(record.gate)) {
    record.gate_zone = gate->location.zone;
  }
  record.took = loop_.Now() - request->arrived;
  record.deadline = request->terms.deadline;
  record.attempts = request->attempts_made;
  record.hedged = request->hedged;
  LogEnd(*request, record, settings_.names);
  if (request->quota_token && record.outcome == Outcome::kNotRun) {
    quotas_.Refund(request->terms.workspace->name, *request->quota_token);
  }
  request->exchange->SetOnDisconnect(nullptr);
  while (!request->attempts.empty()) {
    DropAttempt(AttemptId(request->attempts.back()->id));
  }
  request->deadline_timer->Stop();
  request->retry_timer->Stop();
  request->hedge_timer->Stop();
  requests_.erase(request->number);
  // A timer or callback of the request may be on the stack, so the request is
  // destroyed later, from the event loop.
  loop_.Post([request] {});
  if (handlers_.on_request) {
    handlers_.on_request(record);
  }
}

}  // namespace ibisvalve::dataplane
