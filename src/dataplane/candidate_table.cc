#include "dataplane/candidate_table.h"

#include <algorithm>

namespace ibisvalve::dataplane {
namespace {

// Bounds of the back-off for an unreachable gate. Network partitions last
// seconds, and each attempt over a silent link costs a request the time until
// the silence is detected.
constexpr Duration kShortestAvoidance = std::chrono::seconds(1);
constexpr Duration kLongestAvoidance = std::chrono::seconds(4);

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
    const std::set<NodeId>& tried,
    Time now) {
  std::vector<policy::Candidate> candidates;
  for (const world::Member* member : view_.Targets(service.name)) {
    if (!tried.contains(member->id)) {
      policy.ejection.Add(member->id);
      candidates.push_back(CandidateFor(service, *member, now));
      candidates.back().ejected = std::max(
          candidates.back().ejected, policy.ejection.Factor(member->id, now));
    }
  }
  // Other regions are used only if no candidate is left in this one.
  const bool near =
      std::any_of(candidates.begin(), candidates.end(),
                  [](const auto& one) { return one.same_region; });
  if (near || !service.routing.cross_region) {
    std::erase_if(candidates, [](const auto& one) { return !one.same_region; });
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  if (settings_.choice != policy::ChoiceKind::kExpectedValue) {
    const size_t chosen = policy.chooser.Choose(candidates, now, random_);
    return Choice{candidates[chosen].id, candidates.size() > 1, true};
  }
  const policy::ExpectedValueChooser::Choice choice =
      by_value_.Choose(candidates, terms, now, random_);
  return Choice{candidates[choice.index].id, choice.has_alternative,
                by_value_.IsWorthTrying(choice)};
}

std::pair<wire::LoadHint, uint64_t> CandidateTable::LastHint(const NodeId& gate,
                                                             Time now) const {
  const auto known = known_.find(gate);
  if (known == known_.end() || !known->second.hint_time) {
    return {};
  }
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - *known->second.hint_time);
  return {known->second.hint, static_cast<uint64_t>(age.count())};
}

void CandidateTable::OnUnreachable(const NodeId& gate, Time now) {
  Known& known = known_[gate];
  if (now < known.avoid_until) {
    return;  // reported for the same outage
  }
  known.avoided =
      std::clamp(known.avoided * 2, kShortestAvoidance, kLongestAvoidance);
  known.avoid_until = now + known.avoided;
}

void CandidateTable::OnHint(const NodeId& gate,
                            const wire::LoadHint& hint,
                            Time now) {
  Known& known = known_[gate];
  known.hint = hint;
  known.hint_time = now;
  known.avoid_until = Time();
  known.avoided = Duration(0);
}

policy::Candidate CandidateTable::CandidateFor(const world::Service& service,
                                               const world::Member& member,
                                               Time now) {
  Known& known = known_[member.id];
  if (!known.ready_since) {
    known.ready_since = now;
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
  candidate.local_in_flight = known.in_flight;
  candidate.slots = std::max(member.slots, 1U);
  candidate.hint_in_flight = known.hint.in_flight;
  candidate.hint_queued = known.hint.queued;
  candidate.hint_limit = known.hint.limit;
  candidate.hint_service = Duration(known.hint.service_us);
  constexpr double kPermille = 1000.0;
  candidate.hint_failures = known.hint.error_permille / kPermille;
  candidate.slowdown = wire::FromPercent(known.hint.slowdown_percent);
  candidate.pace = wire::FromPercent(known.hint.pace_percent);
  if (member.id != settings_.id) {
    candidate.hint_kib = Duration(known.hint.kib_us);
  }
  if (now < known.avoid_until) {
    candidate.ejected = 1;
  }
  candidate.hint_time = known.hint_time;
  candidate.ready_since = *known.ready_since;
  return candidate;
}

}  // namespace ibisvalve::dataplane
