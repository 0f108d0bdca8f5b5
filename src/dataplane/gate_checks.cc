#include "dataplane/gate_checks.h"

#include <algorithm>

namespace ibisvalve::dataplane {
namespace {

using world::Reason;

constexpr uint32_t kMaxQueuedPerSlot = 4;
// A request that may be redirected waits in the queue no longer than a redirect
// takes: the time to ask another gate, plus the time to transfer its body there
// for each KiB.
constexpr Duration kRedirectTime = std::chrono::milliseconds(10);
constexpr Duration kRedirectTimePerKib = std::chrono::milliseconds(5);

Duration MaxQueueTime(const wire::OpenAttempt& open) {
  constexpr uint64_t kBytesPerKib = 1024;
  return kRedirectTime +
         kRedirectTimePerKib *
             static_cast<int64_t>(open.body_bytes / kBytesPerKib);
}

}  // namespace

std::optional<Reason> FindRefusalReason(const wire::OpenAttempt& open,
                                        const PlaneSettings& settings,
                                        const FleetView& view,
                                        world::TargetState state) {
  const bool any_revision =
      view.fleet() != nullptr &&
      view.fleet()->control.isolated == world::IsolatedPolicy::kServe;
  if (view.fleet() == nullptr ||
      (open.revision != view.revision() && !any_revision)) {
    return Reason::kRevision;
  }
  if (!view.MayServe(open.may_repeat ? world::Repeat::kAllowed
                                     : world::Repeat::kNever)) {
    return Reason::kIsolated;
  }
  if (!settings.target || open.service != settings.service) {
    return Reason::kNoTarget;
  }
  if (view.IsEvacuated(settings.location.zone)) {
    return Reason::kEvacuated;
  }
  if (state == world::TargetState::kDraining) {
    return Reason::kDraining;
  }
  if (state != world::TargetState::kReady) {
    return Reason::kTargetDown;
  }
  const world::Service* service =
      world::FindService(*view.fleet(), open.service);
  if (service == nullptr) {
    // The ingress may already have a newer configuration file than this node.
    return any_revision ? std::nullopt
                        : std::optional<Reason>(Reason::kUnknownService);
  }
  if (open.body_bytes > service->limits.request_body) {
    return Reason::kTooLarge;
  }
  return std::nullopt;
}

policy::AdmissionSettings MakeAdmissionSettings(const FleetView& view,
                                                const ServiceName& service,
                                                uint32_t slots,
                                                bool adapts) {
  policy::AdmissionSettings settings;
  settings.slots = std::max(slots, 1U);
  settings.max_queue = settings.slots * kMaxQueuedPerSlot;
  settings.adaptive_limit = adapts;
  settings.by_objective = !adapts;
  if (view.fleet() != nullptr) {
    const world::Service* known = world::FindService(*view.fleet(), service);
    if (known != nullptr) {
      settings.max_wait = known->limits.queue;
    }
  }
  return settings;
}

policy::AdmissionTerms MakeAdmissionTerms(const GateAttempt& attempt,
                                          Duration expected) {
  policy::AdmissionTerms terms{attempt.open.id, attempt.deadline,
                               attempt.objective};
  terms.expected = expected;
  terms.priority = attempt.open.priority;
  if (attempt.open.may_redirect) {
    terms.max_queue_wait =
        std::max(MaxQueueTime(attempt.open), attempt.redirect_cost);
  }
  return terms;
}

}  // namespace ibisvalve::dataplane
