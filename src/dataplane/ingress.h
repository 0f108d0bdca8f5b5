#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "dataplane/attempt_index.h"
#include "dataplane/candidate_table.h"
#include "dataplane/crash_sync.h"
#include "dataplane/crash_tracker.h"
#include "dataplane/gate.h"
#include "dataplane/gate_client.h"
#include "dataplane/link_recovery.h"
#include "dataplane/node_plane.h"
#include "dataplane/quota_control.h"
#include "dataplane/request_state.h"
#include "dataplane/revision_fetcher.h"
#include "dataplane/service_policies.h"

namespace ibisvalve::dataplane {

/// Counters of an ingress for metrics.
struct IngressCounts {
  uint64_t requests = 0;
  uint64_t attempts = 0;
  uint64_t retries = 0;
  uint64_t hedges = 0;
  uint64_t hung_up = 0;
  uint64_t returned = 0;           // requests of callers refused before
  uint64_t returned_answered = 0;  // of these, requests with a response

  auto operator<=>(const IngressCounts&) const = default;
};

/// Serves callers' requests: sends attempts to gates, retries and hedges them,
/// and reports exactly one outcome to each caller. No other component retries
/// requests. Runs on the event loop.
class Ingress {
 public:
  /// All references must outlive the ingress.
  Ingress(net::EventLoop& loop,
          const PlaneSettings& settings,
          const FleetView& view,
          Gate& gate,
          CrashTracker& crashes,
          const PlaneHandlers& handlers);
  ~Ingress();
  Ingress(const Ingress&) = delete;
  Ingress& operator=(const Ingress&) = delete;

  /// Serves one request of a caller.
  void OnRequest(const std::shared_ptr<CallerExchange>& exchange);

  /// Sets the time at which this node stops: requests whose deadlines are later
  /// are refused from now on, as they could be cut off.
  void SetStopTime(Time stop) { stop_time_ = stop; }

  /// Rejects bytes from a caller that are not a valid request, or a request for
  /// whose body there is no memory.
  void RejectMalformed(CallerExchange& exchange, const net::HttpError& error);

  /// Returns whether this node knows the quarantined requests of its peers, or
  /// has found none that tells them.
  bool knows_crashes() const { return crash_sync_.settled(); }
  /// Returns the number of requests being served.
  size_t in_flight() const { return requests_.size(); }
  /// Returns how many queries about the outcome of an attempt were sent to
  /// gates.
  uint64_t queries() const { return recovery_.queries(); }
  const IngressCounts& counts() const { return counts_; }
  const QuotaCounts& quota_counts() const { return quotas_.counts(); }
  GateClient& gates() { return gates_; }
  const GateClient& gates() const { return gates_; }

 private:
  void RejectRequest(const std::shared_ptr<CallerExchange>& exchange,
                     const CallerRefusal& refusal,
                     const ServiceName& service);
  void Accept(const std::shared_ptr<CallerExchange>& exchange,
              const CallerTerms& terms);
  bool CanEndBeforeStop(const CallerTerms& terms) const;
  void RestoreFirstArrival(RequestState& request);
  void AwaitQuota(const RequestPtr& request);
  void OnQuotaDecision(const RequestPtr& request,
                       const QuotaDecision& decision);
  void AddTimers(const RequestPtr& request);
  ServicePolicy& PolicyOf(const RequestState& request);

  policy::RequestTerms TermsOf(const RequestState& request) const;
  std::optional<Duration> HedgeDelay(const RequestState& request);
  void StartOrFail(const RequestPtr& request);
  bool StartAttempt(const RequestPtr& request, bool hedge);
  void OnHedgeDue(const RequestPtr& request);
  IngressAttempt& AddAttempt(const RequestPtr& request, const NodeId& gate);
  ResponseRelay::Handlers RelayHandlers(const RequestPtr& request,
                                        const AttemptId& id);
  void SendBody(const RequestState& request, IngressAttempt& attempt);

  void OnReply(const NodeId& gate, GateReply reply);
  void HandleReply(const AttemptIndex::Found& found, wire::AnswerHead head);
  void HandleReply(const AttemptIndex::Found& found,
                   const wire::AnswerPart& part);
  void HandleReply(const AttemptIndex::Found& found,
                   const wire::AttemptFailed& failed);
  void HandleReply(const AttemptIndex::Found& found,
                   const wire::AttemptRunning& running);
  void HandleReply(const AttemptIndex::Found& found,
                   const wire::Credit& credit);
  void OnGateEnded(const AttemptIndex::Found& found);
  void OnResponseComplete(const RequestPtr& request, const AttemptId& id);
  void FailAttempt(const AttemptId& id,
                   world::Outcome outcome,
                   world::Reason reason);
  void RetryOrFail(const RequestPtr& request,
                   const NodeId& gate,
                   world::Outcome outcome,
                   world::Reason reason);
  void AwaitClaimHolder(const RequestPtr& request,
                        const wire::ClaimHolder& holder,
                        uint16_t status);

  void OnDeadline(const RequestPtr& request);
  void CheckStall(const RequestPtr& request);
  void OnCallerDisconnected(const RequestPtr& request);
  void CancelAttempts(const RequestPtr& request, const AttemptId* except);
  void DropAttempt(const AttemptId& id);
  void FailRequest(const RequestPtr& request,
                   world::Outcome outcome,
                   world::Reason reason);
  void FinishRequest(const RequestPtr& request, RequestRecord record);

  net::EventLoop& loop_;
  const PlaneSettings& settings_;
  const FleetView& view_;
  CrashTracker& crashes_;
  const PlaneHandlers& handlers_;
  Digest node_digest_;  // of this node's id; part of each AttemptId
  policy::RefusedCallers refused_callers_;
  CandidateTable candidates_;
  ServicePolicies policies_;
  GateClient gates_;
  RevisionFetcher revisions_;
  CrashSync crash_sync_;
  QuotaControl quotas_;
  std::optional<Time> stop_time_;
  uint64_t next_request_ = 0;
  uint64_t next_attempt_ = 0;
  std::unordered_map<uint64_t, RequestPtr> requests_;
  AttemptIndex attempts_;
  LinkRecovery recovery_;
  IngressCounts counts_;
  // By CallerTerms::kind.
  std::map<std::string, policy::ServiceTimeEstimate> service_time_estimates_;
};

}  // namespace ibisvalve::dataplane
