#include "dataplane/ingress.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "dataplane/events.h"
#include "dataplane/http_headers.h"

namespace ibisvalve::dataplane {
namespace {

using world::Outcome;
using world::Reason;

// How long the ingress waits for the gate's own verdict after the deadline of
// a request that may not be repeated.
constexpr Duration kVerdictGrace = std::chrono::milliseconds(50);
// An answer that flows is broken off when nothing moves for so long.
constexpr Duration kStallLimit = std::chrono::seconds(10);
// Between attempts while revisions or incarnations are still spreading.
constexpr Duration kSpreadPause = std::chrono::milliseconds(10);
// Refusals that cost no target anything may be retried a little further.
constexpr uint32_t kExtraFreeAttempts = 5;

// The gate and the ingress are not yet of one mind; it passes by itself.
bool IsSpreading(Reason reason) {
  return reason == Reason::kRevision || reason == Reason::kGateRestarted;
}

// The refusal is no sign of load.
bool IsFree(Reason reason) {
  return reason == Reason::kDraining || reason == Reason::kTargetDown ||
         reason == Reason::kIsolated || reason == Reason::kNoTarget;
}

// Another gate would say the same.
bool IsFinal(Reason reason) {
  switch (reason) {
    case Reason::kKeyMismatch:
    case Reason::kKeyClaimed:
    case Reason::kNoQuorum:
    case Reason::kQuarantined:
    case Reason::kTooLarge:
    case Reason::kDeadline:
    case Reason::kCancelled:
    case Reason::kBadRequest:
    case Reason::kUnknownService:
      return true;
    default:
      return false;
  }
}

}  // namespace

Ingress::Ingress(net::EventLoop& loop,
                 const PlaneSettings& settings,
                 const FleetView& view,
                 Gate& gate,
                 MemoryBudget& memory,
                 const PlaneHandlers& handlers)
    : loop_(loop),
      settings_(settings),
      view_(view),
      gate_(gate),
      memory_(memory),
      handlers_(handlers),
      candidates_(settings, view),
      peers_(loop,
             settings,
             view,
             {[this](const NodeId& peer, GateReply reply) {
                OnReply(peer, std::move(reply));
              },
              [this](const NodeId& peer, const wire::LoadHint& hint) {
                candidates_.OnHint(peer, hint, loop_.Now());
              },
              [this](const NodeId& peer, uint64_t link, bool connected) {
                OnLinkDown(peer, link, connected);
              },
              [this](Revision seen) {
                if (handlers_.on_newer_revision) {
                  handlers_.on_newer_revision(seen);
                }
              }}),
      ask_timer_(loop, [this] { AskAgain(); }) {
  // Posted, so that the gate never calls back from inside a call of its own.
  local_port_ = {0, [this, alive = alive_](const GateReply& reply) {
                   loop_.Post([this, alive, reply] {
                     if (*alive) {
                       OnReply(settings_.id, reply);
                     }
                   });
                 }};
  ask_timer_.StartPeriodic(settings.link_silence);
}

Ingress::~Ingress() {
  *alive_ = false;
}

void Ingress::OnRequest(std::shared_ptr<CallerExchange> exchange) {
  ++counts_.requests;
  if (view_.fleet() == nullptr) {
    RefuseEarly(exchange, {Reason::kRevision, "no file is in force yet"}, {});
    return;
  }
  CallerRefusal refusal;
  const std::optional<CallerTerms> terms =
      ParseTerms(exchange->request(), *view_.fleet(), refusal);
  if (!terms) {
    RefuseEarly(exchange, refusal, {});
    return;
  }
  if (!view_.MayServe(terms->terms.repeat)) {
    RefuseEarly(exchange, {Reason::kIsolated, "no keeper confirms the file"},
                terms->service->name);
    return;
  }
  auto request = std::make_shared<RequestState>();
  if (!request->memory.Take(memory_, exchange->request().body.size())) {
    RefuseEarly(exchange, {Reason::kMemory, "too many bytes are held"},
                terms->service->name);
    return;
  }
  request->number = ++next_request_;
  request->exchange = std::move(exchange);
  request->fleet = view_.fleet();
  request->terms = *terms;
  request->arrived = loop_.Now();
  request->deadline = request->arrived + terms->deadline;
  requests_[request->number] = request;
  const std::weak_ptr<RequestState> weak = request;
  const auto call = [weak](auto action) {
    if (const Request standing = weak.lock()) {
      action(standing);
    }
  };
  request->deadline_timer = std::make_unique<net::Timer>(loop_, [this, call] {
    call([this](const Request& late) { OnDeadline(late); });
  });
  request->deadline_timer->StartOnce(terms->deadline);
  request->retry_timer = std::make_unique<net::Timer>(loop_, [this, call] {
    call([this](const Request& waiting) { Try(waiting); });
  });
  request->exchange->SetOnGone(
      [this, call] { call([this](const Request& gone) { OnHungUp(gone); }); });
  Try(request);
}

void Ingress::RefuseEarly(const std::shared_ptr<CallerExchange>& exchange,
                          const CallerRefusal& refusal,
                          const ServiceName& service) {
  const int status = StatusFor(Outcome::kNotRun, refusal.reason);
  wire::Headers headers = {{kOutcomeHeader, world::ToString(Outcome::kNotRun)},
                           {kReasonHeader, world::ToString(refusal.reason)},
                           {kAttemptsHeader, "0"},
                           {"Content-Type", "text/plain"}};
  if (refusal.close) {
    headers.emplace_back("Connection", "close");
  }
  exchange->Reply(status, headers, refusal.detail + "\n");
  if (!service.empty() && handlers_.on_request) {
    RequestRecord record;
    record.service = service;
    record.reason = refusal.reason;
    record.status = static_cast<uint16_t>(status);
    handlers_.on_request(record);
  }
}

// Picks a target and asks its gate, or concludes where none is left.
void Ingress::Try(const Request& request) {
  const std::optional<NodeId> gate =
      candidates_.Choose(*request->terms.service, request->tried, loop_.Now());
  if (!gate) {
    Conclude(
        request, Outcome::kNotRun,
        request->reason == Reason::kNone ? Reason::kNoTarget : request->reason);
    return;
  }
  StartAttempt(request, *gate);
}

void Ingress::StartAttempt(const Request& request, const NodeId& gate) {
  IngressAttempt& attempt = AddAttempt(request, gate);
  ++request->made;
  ++counts_.attempts;
  request->tried.insert(gate);
  const wire::OpenAttempt open = OpenFor(*request, attempt);
  attempt.body_sent = open.body.size();
  attempt.body_credit -= open.body.size();
  const AttemptId id = attempt.id;
  Send(attempt, open);
  // A gate of this node may have refused from inside the call, but its reply
  // comes later from the loop, so the attempt still stands.
  CHECK(by_attempt_.contains(id));
  SendBody(*request, attempt);
}

wire::OpenAttempt Ingress::OpenFor(const RequestState& request,
                                   const IngressAttempt& attempt) const {
  const CallerRequest& asked = request.exchange->request();
  wire::OpenAttempt open;
  open.id = attempt.id;
  open.gate = attempt.gate_incarnation;
  open.revision = view_.revision();
  open.service = request.terms.service->name;
  open.method = asked.method;
  open.uri = asked.uri;
  open.headers = EndToEnd(asked.headers);
  open.remaining_us = static_cast<uint64_t>(
      std::max<int64_t>((request.deadline - loop_.Now()).count(), 0));
  open.depth = request.terms.depth;
  open.retry = request.terms.retry || request.made > 1;
  open.may_repeat = request.repeatable();
  open.key = request.terms.key;
  open.fingerprint = request.terms.fingerprint;
  open.body_bytes = asked.body.size();
  open.body = asked.body.substr(0, kPartBytes);
  open.body_complete = open.body.size() == asked.body.size();
  return open;
}

void Ingress::SendBody(const RequestState& request, IngressAttempt& attempt) {
  const std::string& body = request.exchange->request().body;
  while (attempt.body_sent < body.size() && attempt.body_credit > 0) {
    const size_t size =
        std::min<size_t>({kPartBytes, body.size() - attempt.body_sent,
                          static_cast<size_t>(attempt.body_credit)});
    wire::BodyPart part{attempt.id, body.substr(attempt.body_sent, size),
                        false};
    attempt.body_sent += size;
    attempt.body_credit -= size;
    part.last = attempt.body_sent == body.size();
    Send(attempt, part);
  }
}

IngressAttempt& Ingress::AddAttempt(const Request& request,
                                    const NodeId& gate) {
  auto made = std::make_unique<IngressAttempt>();
  IngressAttempt& attempt = *made;
  attempt.id = {settings_.incarnation, ++next_attempt_};
  attempt.gate = gate;
  attempt.started = loop_.Now();
  attempt.relay = RelayFor(request, attempt.id);
  if (gate == settings_.id) {
    attempt.gate_incarnation = settings_.incarnation;
  } else {
    attempt.gate_incarnation = peers_.IncarnationOf(gate);
    attempt.link = peers_.LinkTo(gate).value_or(0);
    peers_.BeginAttempt(gate, attempt.link);
  }
  candidates_.Begin(gate);
  request->attempts.push_back(std::move(made));
  by_attempt_[attempt.id] = request;
  return attempt;
}

std::unique_ptr<AnswerRelay> Ingress::RelayFor(const Request& request,
                                               const AttemptId& id) {
  const std::weak_ptr<RequestState> weak = request;
  return std::make_unique<AnswerRelay>(
      request->exchange,
      AnswerRelay::Handlers{[this, weak] {
                              const Request standing = weak.lock();
                              return standing == nullptr
                                         ? wire::Headers()
                                         : OutcomeHeaders(*standing,
                                                          Outcome::kAnswered,
                                                          Reason::kNone);
                            },
                            [this, weak, id](uint32_t bytes) {
                              const Request standing = weak.lock();
                              if (standing == nullptr) {
                                return;
                              }
                              for (const auto& attempt : standing->attempts) {
                                if (attempt->id == id) {
                                  Send(*attempt, wire::Credit{id, bytes});
                                }
                              }
                            },
                            [this, weak, id] {
                              if (const Request standing = weak.lock()) {
                                OnCommitted(standing, id);
                              }
                            }});
}

wire::Headers Ingress::OutcomeHeaders(const RequestState& request,
                                      Outcome outcome,
                                      Reason reason) const {
  return {{kOutcomeHeader, world::ToString(outcome)},
          {kReasonHeader, world::ToString(reason)},
          {kAttemptsHeader, std::to_string(request.made)}};
}

void Ingress::OnReply(const NodeId& gate, GateReply reply) {
  const AttemptId id =
      std::visit([](const auto& frame) { return frame.id; }, reply);
  const auto found = by_attempt_.find(id);
  if (found == by_attempt_.end()) {
    return;  // late: that attempt is over
  }
  const Request request = found->second;
  const auto attempt =
      std::find_if(request->attempts.begin(), request->attempts.end(),
                   [&](const auto& one) { return one->id == id; });
  if (attempt == request->attempts.end() || (*attempt)->gate != gate) {
    return;
  }
  try {
    std::visit([&](auto& frame) { Take(request, **attempt, std::move(frame)); },
               reply);
  } catch (const wire::WireError& error) {
    // What came is no whole answer and is never passed on as one.
    FailAttempt(request, id, Outcome::kUnknown, Reason::kTargetBroke);
  }
}

void Ingress::Take(const Request& request,
                   IngressAttempt& attempt,
                   wire::AnswerHead head) {
  candidates_.OnHint(attempt.gate, head.hint, loop_.Now());
  const AttemptId id = attempt.id;
  if (attempt.relay->OnHead(std::move(head))) {
    OnAnswered(request, id);
  }
}

void Ingress::Take(const Request& request,
                   IngressAttempt& attempt,
                   const wire::AnswerPart& part) {
  const AttemptId id = attempt.id;
  if (attempt.relay->OnPart(part)) {
    OnAnswered(request, id);
  }
}

void Ingress::Take(const Request& request,
                   IngressAttempt& attempt,
                   const wire::AttemptFailed& failed) {
  candidates_.OnHint(attempt.gate, failed.hint, loop_.Now());
  if (failed.revision > view_.revision() && handlers_.on_newer_revision) {
    handlers_.on_newer_revision(failed.revision);
  }
  if (failed.claimed_status != 0) {
    request->first_status = failed.claimed_status;
  }
  if (failed.reason == Reason::kKeyClaimed && failed.holder &&
      !attempt.follows) {
    const wire::ClaimHolder holder = *failed.holder;
    DropAttempt(*request, attempt.id);
    Follow(request, holder, failed.claimed_status);
    return;
  }
  FailAttempt(request, attempt.id, failed.outcome, failed.reason);
}

void Ingress::Take(const Request&,
                   IngressAttempt& attempt,
                   const wire::AttemptRunning&) {
  attempt.needs_query = false;
}

void Ingress::Take(const Request& request,
                   IngressAttempt& attempt,
                   const wire::Credit& credit) {
  attempt.body_credit += credit.bytes;
  SendBody(*request, attempt);
}

void Ingress::OnAnswered(const Request& request, const AttemptId& id) {
  const auto winner =
      std::find_if(request->attempts.begin(), request->attempts.end(),
                   [&](const auto& one) { return one->id == id; });
  CHECK(winner != request->attempts.end());
  RequestRecord record;
  record.gate = (*winner)->gate;
  record.outcome = Outcome::kAnswered;
  record.status = (*winner)->relay->status();
  CancelAttempts(request, &id);
  const auto budget = retry_budgets_.find(request->terms.service->name);
  if (budget != retry_budgets_.end()) {
    budget->second.OnSuccess();
  }
  End(request, record);
}

void Ingress::OnCommitted(const Request& request, const AttemptId& winner) {
  request->committed = true;
  CancelAttempts(request, &winner);
}

// One attempt is over without an answer: tries another where that is allowed.
void Ingress::FailAttempt(const Request& request,
                          const AttemptId& id,
                          Outcome outcome,
                          Reason reason) {
  const auto failed =
      std::find_if(request->attempts.begin(), request->attempts.end(),
                   [&](const auto& one) { return one->id == id; });
  CHECK(failed != request->attempts.end());
  const bool followed = (*failed)->follows.has_value();
  const bool was_committed = (*failed)->relay->committed();
  const NodeId gate = (*failed)->gate;
  DropAttempt(*request, id);
  request->reason = reason;
  request->maybe_ran |= outcome == Outcome::kUnknown;
  if (was_committed) {
    Conclude(request, Outcome::kUnknown, reason);
    return;
  }
  if (!request->attempts.empty()) {
    return;  // a hedge is still in flight
  }
  if (followed || !MayRetry(*request, outcome, reason)) {
    Conclude(request, outcome, reason);
    return;
  }
  ++counts_.retries;
  if (IsSpreading(reason)) {
    request->tried.erase(gate);
    request->retry_timer->StartOnce(kSpreadPause);
  } else {
    Try(request);
  }
}

bool Ingress::MayRetry(const RequestState& request,
                       Outcome outcome,
                       Reason reason) {
  if (IsFinal(reason) || loop_.Now() >= request.deadline) {
    return false;
  }
  if (outcome == Outcome::kUnknown &&
      (!request.repeatable() || request.terms.retry)) {
    return false;
  }
  if (IsSpreading(reason) && outcome == Outcome::kNotRun) {
    return true;
  }
  const world::RetryPolicy& policy = request.terms.service->retry;
  if (IsFree(reason) && outcome == Outcome::kNotRun) {
    return request.made < policy.max_attempts + kExtraFreeAttempts;
  }
  if (request.made >= policy.max_attempts || request.terms.retry) {
    return false;
  }
  const auto budget =
      retry_budgets_.try_emplace(request.terms.service->name, policy.budget);
  return budget.first->second.Take();
}

// The key is held by an earlier attempt: waits for that one's answer.
void Ingress::Follow(const Request& request,
                     const wire::ClaimHolder& holder,
                     uint16_t status) {
  request->first_status = status;
  if (view_.Find(holder.gate) == nullptr && holder.gate != settings_.id) {
    request->maybe_ran = true;
    Conclude(request, Outcome::kUnknown, Reason::kKeyClaimed);
    return;
  }
  IngressAttempt& attempt = AddAttempt(request, holder.gate);
  attempt.gate_incarnation = holder.gate_incarnation;
  attempt.follows = holder.attempt;
  Send(attempt,
       wire::QueryAttempt{holder.attempt, holder.gate_incarnation, attempt.id});
}

void Ingress::OnLinkDown(const NodeId& gate, uint64_t link, bool connected) {
  std::vector<std::pair<Request, AttemptId>> cut;
  for (const auto& [id, request] : by_attempt_) {
    for (const auto& attempt : request->attempts) {
      if (attempt->id == id && attempt->gate == gate && attempt->link == link) {
        cut.emplace_back(request, id);
      }
    }
  }
  for (const auto& [request, id] : cut) {
    const auto found = std::find_if(
        request->attempts.begin(), request->attempts.end(),
        [wanted = id](const auto& one) { return one->id == wanted; });
    if (found == request->attempts.end()) {
      continue;
    }
    IngressAttempt& attempt = **found;
    attempt.link = 0;
    const bool never_left =
        !connected && attempt.queries == 0 && !attempt.follows;
    const bool asked_enough = attempt.queries > 0 && request->repeatable();
    if (never_left) {
      FailAttempt(request, id, Outcome::kNotRun, Reason::kTargetDown);
    } else if (attempt.relay->committed() || asked_enough) {
      // What the caller has been sent can't be continued.
      FailAttempt(request, id, Outcome::kUnknown, Reason::kLinkLost);
    } else if (attempt.queries > 0) {
      attempt.needs_query = true;  // again, at the next tick
    } else {
      Ask(request, attempt);
    }
  }
}

// Asks the gate over a new link what became of an attempt.
void Ingress::Ask(const Request& request, IngressAttempt& attempt) {
  ++counts_.queries;
  ++attempt.queries;
  attempt.needs_query = false;
  attempt.relay->Restart();
  const std::optional<uint64_t> link = peers_.LinkTo(attempt.gate);
  if (!link) {
    FailAttempt(request, attempt.id, Outcome::kUnknown, Reason::kLinkLost);
    return;
  }
  attempt.link = *link;
  peers_.BeginAttempt(attempt.gate, attempt.link);
  Send(attempt, wire::QueryAttempt{attempt.follows.value_or(attempt.id),
                                   attempt.gate_incarnation, attempt.id});
}

void Ingress::AskAgain() {
  std::vector<std::pair<Request, AttemptId>> waiting;
  for (const auto& [id, request] : by_attempt_) {
    for (const auto& attempt : request->attempts) {
      if (attempt->id == id && attempt->needs_query && attempt->link == 0) {
        waiting.emplace_back(request, id);
      }
    }
  }
  for (const auto& [request, id] : waiting) {
    for (size_t i = 0; i < request->attempts.size(); ++i) {
      if (request->attempts[i]->id == id) {
        Ask(request, *request->attempts[i]);
        break;
      }
    }
  }
}

void Ingress::OnDeadline(const Request& request) {
  if (request->committed) {
    uint64_t progress = 0;
    for (const auto& attempt : request->attempts) {
      progress += attempt->relay->received();
    }
    if (progress == request->progress) {
      Conclude(request, Outcome::kUnknown, Reason::kDeadline);
      return;
    }
    request->progress = progress;
    request->deadline_timer->StartOnce(kStallLimit);
    return;
  }
  if (!request->attempts.empty() && !request->repeatable() && !request->grace) {
    request->grace = true;
    request->deadline_timer->StartOnce(kVerdictGrace);
    return;
  }
  request->maybe_ran |= !request->attempts.empty();
  Conclude(request, Outcome::kNotRun, Reason::kDeadline);
}

void Ingress::OnHungUp(const Request& request) {
  ++counts_.hung_up;
  RequestRecord record;
  record.hung_up = true;
  record.outcome = request->attempts.empty() && !request->maybe_ran
                       ? Outcome::kNotRun
                       : Outcome::kUnknown;
  record.reason = Reason::kCancelled;
  CancelAttempts(request, nullptr);
  End(request, record);
}

// Cancels every attempt in flight but `but`.
void Ingress::CancelAttempts(const Request& request, const AttemptId* but) {
  for (size_t i = request->attempts.size(); i-- > 0;) {
    const IngressAttempt& attempt = *request->attempts[i];
    if (but != nullptr && attempt.id == *but) {
      continue;
    }
    if (!attempt.follows) {
      Send(attempt, wire::CancelAttempt{attempt.id});
    }
    DropAttempt(*request, AttemptId(attempt.id));
  }
}

void Ingress::DropAttempt(RequestState& request, const AttemptId& id) {
  const AttemptId dropped = id;
  const auto found =
      std::find_if(request.attempts.begin(), request.attempts.end(),
                   [&](const auto& one) { return one->id == dropped; });
  CHECK(found != request.attempts.end());
  const IngressAttempt& attempt = **found;
  candidates_.End(attempt.gate);
  if (attempt.link != 0) {
    peers_.EndAttempt(attempt.gate, attempt.link);
  }
  // Its relay may be what is calling, so it is destroyed from the loop.
  std::shared_ptr<IngressAttempt> gone = std::move(*found);
  loop_.Post([gone] {});
  request.attempts.erase(found);
  by_attempt_.erase(dropped);
}

// Tells the caller that there is no answer, and what is known instead.
void Ingress::Conclude(const Request& request, Outcome outcome, Reason reason) {
  if (request->maybe_ran) {
    outcome = Outcome::kUnknown;
  }
  CancelAttempts(request, nullptr);
  RequestRecord record;
  record.outcome = outcome;
  record.reason = reason;
  if (request->committed) {
    request->exchange->Break();
    End(request, record);
    return;
  }
  const int status = StatusFor(outcome, reason);
  record.status = static_cast<uint16_t>(status);
  wire::Headers headers = OutcomeHeaders(*request, outcome, reason);
  headers.emplace_back("Content-Type", "text/plain");
  if (request->first_status != 0) {
    headers.emplace_back(kFirstStatusHeader,
                         std::to_string(request->first_status));
  }
  request->exchange->Reply(
      status, headers,
      world::ToString(outcome) + ": " + world::ToString(reason) + "\n");
  End(request, record);
}

void Ingress::End(const Request& request, RequestRecord record) {
  record.service = request->terms.service->name;
  if (const world::Member* gate = view_.Find(record.gate)) {
    record.gate_zone = gate->location.zone;
  }
  record.took = loop_.Now() - request->arrived;
  record.deadline = request->terms.deadline;
  record.attempts = request->made;
  record.hedged = request->hedged;
  request->exchange->SetOnGone(nullptr);
  while (!request->attempts.empty()) {
    DropAttempt(*request, request->attempts.back()->id);
  }
  request->deadline_timer->Stop();
  request->retry_timer->Stop();
  requests_.erase(request->number);
  // Timers and callbacks of the request may be running.
  loop_.Post([request] {});
  if (handlers_.on_request) {
    handlers_.on_request(record);
  }
}

template <typename Message>
void Ingress::Send(const IngressAttempt& attempt, const Message& message) {
  if (attempt.gate == settings_.id) {
    SendLocal(message);
  } else {
    peers_.Send(attempt.gate, attempt.link, message);
  }
}

void Ingress::SendLocal(const wire::OpenAttempt& message) {
  gate_.Open(message, local_port_);
}

void Ingress::SendLocal(const wire::BodyPart& message) {
  gate_.AddBody(message);
}

void Ingress::SendLocal(const wire::CancelAttempt& message) {
  gate_.Cancel(message.id);
}

void Ingress::SendLocal(const wire::Credit& message) {
  gate_.AddCredit(message);
}

void Ingress::SendLocal(const wire::QueryAttempt& message) {
  gate_.Query(message, local_port_);
}

}  // namespace ibisvalve::dataplane
