#include "dataplane/candidate_table.h"

#include <algorithm>

namespace ibisvalve::dataplane {
namespace {

// Bounds of the back-off for an unreachable gate. Network partitions last
// seconds, and each attempt over a silent link costs a request the time until
// the silence is detected.
constexpr Duration kMinAvoidance = std::chrono::seconds(1);
constexpr Duration kMaxAvoidance = std::chrono::seconds(4);

}  // namespace

CandidateTable::CandidateTable(const PlaneSettings& settings,
                               const FleetView& view)
    : settings_(settings),
      view_(view),
      random_(settings.incarnation.value ^
              std::hash<std::string>()(settings.id.value)) {}

std::optional<CandidateTable::Choice> CandidateTable::Choose(
    const world::Service& service,
    ServicePolicy& policy,
    const policy::RequestTerms& terms,
    const AllowedRegions& regions,
    const std::set<NodeId>& tried,
    Time now) {
  std::vector<policy::Candidate> candidates;
  for (const world::Member* member : view_.Targets(service.name)) {
    if (!tried.contains(member->id) &&
        Allows(regions, member->location.region)) {
      policy.ejection.Add(member->id);
      candidates.push_back(CandidateFor(service, *member, now));
      candidates.back().ejected =
          std::max(candidates.back().ejected,
                   policy.ejection.EjectedShare(member->id, now));
    }
  }
  // Other regions are used only if no candidate is left in this one, and only
  // if the service or the request allows them.
  const bool cross_region = service.routing.cross_region || regions.has_value();
  const bool has_same_region =
      std::any_of(candidates.begin(), candidates.end(),
                  [](const auto& candidate) { return candidate.same_region; });
  if (has_same_region || !cross_region) {
    std::erase_if(candidates,
                  [](const auto& candidate) { return !candidate.same_region; });
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  if (settings_.choice != policy::ChoiceKind::kExpectedValue) {
    const size_t chosen = policy.chooser.Choose(candidates, now, random_);
    return Choice{candidates[chosen].id, candidates.size() > 1, true};
  }
  const policy::ExpectedValueChooser::Choice choice =
      expected_value_chooser_.Choose(candidates, terms, now, random_);
  return Choice{candidates[choice.index].id, choice.has_alternative,
                expected_value_chooser_.IsWorthTrying(choice)};
}

std::pair<wire::LoadHint, uint64_t> CandidateTable::LastHint(const NodeId& gate,
                                                             Time now) const {
  const auto state = gates_.find(gate);
  if (state == gates_.end() || !state->second.hint_time) {
    return {};
  }
  return {state->second.hint, ToMillis(now - *state->second.hint_time)};
}

void CandidateTable::OnUnreachable(const NodeId& gate, Time now) {
  GateState& state = gates_[gate];
  if (now < state.avoid_until) {
    return;  // reported for the same outage
  }
  state.avoidance =
      std::clamp(state.avoidance * 2, kMinAvoidance, kMaxAvoidance);
  state.avoid_until = now + state.avoidance;
}

void CandidateTable::OnHint(const NodeId& gate,
                            const wire::LoadHint& hint,
                            Time now) {
  GateState& state = gates_[gate];
  state.hint = hint;
  state.hint_time = now;
  state.avoid_until = Time();
  state.avoidance = Duration(0);
}

policy::Candidate CandidateTable::CandidateFor(const world::Service& service,
                                               const world::Member& member,
                                               Time now) {
  GateState& state = gates_[member.id];
  if (!state.ready_since) {
    state.ready_since = now;
  }
  policy::Candidate candidate;
  candidate.id = member.id;
  candidate.zone = member.location.zone;
  candidate.same_zone = member.location == settings_.location;
  candidate.same_region = member.location.region == settings_.location.region;
  for (const world::ZoneShare& share : service.routing.shares) {
    if (share.zone == member.location.zone) {
      candidate.share = share.weight;
    }
  }
  candidate.local_in_flight = state.in_flight;
  candidate.slots = std::max(member.slots, 1U);
  candidate.hint_in_flight = state.hint.in_flight;
  candidate.hint_queued = state.hint.queued;
  candidate.hint_limit = state.hint.limit;
  candidate.hint_service_time = Duration(state.hint.mean_service_time_us);
  constexpr double kPermille = 1000.0;
  candidate.hint_failure_share = state.hint.error_permille / kPermille;
  candidate.slowdown = wire::FromPercent(state.hint.slowdown_percent);
  candidate.pace = wire::FromPercent(state.hint.pace_percent);
  if (member.id != settings_.id) {
    candidate.hint_transfer_per_kib = Duration(state.hint.transfer_us_per_kib);
  }
  if (now < state.avoid_until) {
    candidate.ejected = 1;
  }
  candidate.hint_time = state.hint_time;
  candidate.ready_since = *state.ready_since;
  return candidate;
}

}  // namespace ibisvalve::dataplane
