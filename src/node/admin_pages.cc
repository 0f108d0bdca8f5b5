#include "node/admin_pages.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "observe/observe.h"

namespace ibisvalve::node {
namespace {

using nlohmann::json;

json ToJson(const world::Member& member) {
  return json{{"id", member.id.value},
              {"incarnation", member.incarnation.value},
              {"region", member.location.region.value},
              {"zone", member.location.zone.value},
              {"state", world::ToString(member.state)},
              {"service", member.service.value},
              {"target", world::ToString(member.target)},
              {"slots", member.slots},
              {"gossip", world::ToString(member.gossip)},
              {"mesh", world::ToString(member.mesh)},
              {"admin", world::ToString(member.admin)}};
}

json MembersJson(const membership::MembershipService& membership,
                 bool targets_only) {
  json list = json::array();
  for (const auto& [id, member] : membership.members()) {
    if (!targets_only || !member.service.empty()) {
      list.push_back(ToJson(member));
    }
  }
  return list;
}

}  // namespace

void ServeNodePages(net::AdminServer& admin,
                    const membership::MembershipService& membership,
                    const dataplane::NodePlane& plane,
                    const control::NodeAgent& agent,
                    std::function<std::string()> status) {
  admin.Handle("GET", "/healthz", [&agent](const auto&, const auto& reply) {
    const bool ready = agent.lease_held() && agent.active() > Revision(0);
    const json body{{"ready", ready}, {"revision", agent.active().value}};
    reply({ready ? 200 : 503, "application/json", body.dump()});
  });
  admin.Handle("GET", "/status",
               [status = std::move(status)](const auto&, const auto& reply) {
                 reply({200, "application/json", status()});
               });
  admin.Handle("GET", "/members",
               [&membership](const auto&, const auto& reply) {
                 const json body{{"members", MembersJson(membership, false)}};
                 reply({200, "application/json", body.dump()});
               });
  admin.Handle("GET", "/targets",
               [&membership](const auto&, const auto& reply) {
                 const json body{{"targets", MembersJson(membership, true)}};
                 reply({200, "application/json", body.dump()});
               });
  admin.Handle("GET", "/metrics", [&](const auto&, const auto& reply) {
    std::vector<MetricSample> samples;
    membership.Collect(samples);
    plane.Collect(samples);
    agent.Collect(samples);
    reply({200, "text/plain; version=0.0.4", observe::RenderMetrics(samples)});
  });
}

policy::ChoiceKind ToChoiceKind(config::ChoicePolicy policy) {
  switch (policy) {
    case config::ChoicePolicy::kWeighed:
      return policy::ChoiceKind::kWeighed;
    case config::ChoicePolicy::kRandom:
      return policy::ChoiceKind::kRandom;
    case config::ChoicePolicy::kRoundRobin:
      return policy::ChoiceKind::kRoundRobin;
    case config::ChoicePolicy::kLeastLocal:
      return policy::ChoiceKind::kLeastLocal;
    case config::ChoicePolicy::kTwoStale:
      return policy::ChoiceKind::kTwoStale;
  }
  return policy::ChoiceKind::kWeighed;
}

}  // namespace ibisvalve::node
