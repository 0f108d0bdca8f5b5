#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "dataplane/candidate_table.h"
#include "dataplane/gate.h"
#include "dataplane/node_plane.h"
#include "dataplane/peer_table.h"
#include "dataplane/request_state.h"
#include "dataplane/retry_budget.h"

namespace ibisvalve::dataplane {

/// What an ingress counts for metrics.
struct IngressCounts {
  uint64_t requests = 0;
  uint64_t attempts = 0;
  uint64_t retries = 0;
  uint64_t hedges = 0;
  uint64_t queries = 0;  // gates asked what became of an attempt
  uint64_t hung_up = 0;

  auto operator<=>(const IngressCounts&) const = default;
};

/// Takes callers' requests, has gates run them, and tells each caller the one
/// true outcome of its own. The only place where anything is tried again.
class Ingress {
 public:
  /// All references must outlive the ingress.
  Ingress(net::EventLoop& loop,
          const PlaneSettings& settings,
          const FleetView& view,
          Gate& gate,
          MemoryBudget& memory,
          const PlaneHandlers& handlers);
  ~Ingress();
  Ingress(const Ingress&) = delete;
  Ingress& operator=(const Ingress&) = delete;

  /// Serves one request.
  void OnRequest(std::shared_ptr<CallerExchange> exchange);

  /// Returns how many requests are being served.
  size_t in_flight() const { return requests_.size(); }
  const IngressCounts& counts() const { return counts_; }
  const PeerTable& peers() const { return peers_; }

 private:
  using Request = std::shared_ptr<RequestState>;

  void RefuseEarly(const std::shared_ptr<CallerExchange>& exchange,
                   const CallerRefusal& refusal,
                   const ServiceName& service);
  void Try(const Request& request);
  void StartAttempt(const Request& request, const NodeId& gate);
  wire::OpenAttempt OpenFor(const RequestState& request,
                            const IngressAttempt& attempt) const;
  void SendBody(const RequestState& request, IngressAttempt& attempt);
  IngressAttempt& AddAttempt(const Request& request, const NodeId& gate);
  std::unique_ptr<AnswerRelay> RelayFor(const Request& request,
                                        const AttemptId& id);
  wire::Headers OutcomeHeaders(const RequestState& request,
                               world::Outcome outcome,
                               world::Reason reason) const;

  void OnReply(const NodeId& gate, GateReply reply);
  void Take(const Request& request,
            IngressAttempt& attempt,
            wire::AnswerHead head);
  void Take(const Request& request,
            IngressAttempt& attempt,
            const wire::AnswerPart& part);
  void Take(const Request& request,
            IngressAttempt& attempt,
            const wire::AttemptFailed& failed);
  void Take(const Request& request,
            IngressAttempt& attempt,
            const wire::AttemptRunning& running);
  void Take(const Request& request,
            IngressAttempt& attempt,
            const wire::Credit& credit);
  void OnAnswered(const Request& request, const AttemptId& id);
  void OnCommitted(const Request& request, const AttemptId& winner);
  void FailAttempt(const Request& request,
                   const AttemptId& id,
                   world::Outcome outcome,
                   world::Reason reason);
  bool MayRetry(const RequestState& request,
                world::Outcome outcome,
                world::Reason reason);
  void Follow(const Request& request,
              const wire::ClaimHolder& holder,
              uint16_t status);

  void OnLinkDown(const NodeId& gate, uint64_t link, bool connected);
  void Ask(const Request& request, IngressAttempt& attempt);
  void AskAgain();

  void OnDeadline(const Request& request);
  void OnHungUp(const Request& request);
  void CancelAttempts(const Request& request, const AttemptId* but);
  void DropAttempt(RequestState& request, const AttemptId& id);
  void Conclude(const Request& request,
                world::Outcome outcome,
                world::Reason reason);
  void End(const Request& request, RequestRecord record);

  template <typename Message>
  void Send(const IngressAttempt& attempt, const Message& message);
  void SendLocal(const wire::OpenAttempt& message);
  void SendLocal(const wire::BodyPart& message);
  void SendLocal(const wire::CancelAttempt& message);
  void SendLocal(const wire::Credit& message);
  void SendLocal(const wire::QueryAttempt& message);

  net::EventLoop& loop_;
  const PlaneSettings& settings_;
  const FleetView& view_;
  Gate& gate_;
  MemoryBudget& memory_;
  const PlaneHandlers& handlers_;
  CandidateTable candidates_;
  PeerTable peers_;
  std::map<ServiceName, RetryBudget> retry_budgets_;
  ReplyPort local_port_;
  uint64_t next_request_ = 0;
  uint64_t next_attempt_ = 0;
  std::unordered_map<uint64_t, Request> requests_;
  std::unordered_map<AttemptId, Request> by_attempt_;
  net::Timer ask_timer_;
  IngressCounts counts_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ibisvalve::dataplane
