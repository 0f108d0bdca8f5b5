#include "node/admin_pages.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace ibisvalve::node {
namespace {

using nlohmann::json;

constexpr char kJson[] = "application/json";
constexpr char kMetricsText[] = "text/plain; version=0.0.4";

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
                    const NodeComponents& parts,
                    std::function<std::string()> status) {
  admin.Handle("GET", "/healthz", [parts](const auto&, const auto& reply) {
    const Revision active = parts.agent.active();
    const bool ready =
        parts.agent.lease_held() && active > Revision(0) && parts.plane.ready();
    const json body{{"ready", ready}, {"revision", active.value}};
    reply({ready ? 200 : 503, kJson, body.dump()});
  });
  admin.Handle("GET", "/status",
               [status = std::move(status)](const auto&, const auto& reply) {
                 reply({200, kJson, status()});
               });
  admin.Handle("GET", "/members", [parts](const auto&, const auto& reply) {
    const json body{{"members", MembersJson(parts.membership, false)}};
    reply({200, kJson, body.dump()});
  });
  admin.Handle("GET", "/targets", [parts](const auto&, const auto& reply) {
    const json body{{"targets", MembersJson(parts.membership, true)}};
    reply({200, kJson, body.dump()});
  });
  admin.Handle("GET", "/burn", [parts](const auto&, const auto& reply) {
    reply({200, kJson, parts.burn.Json(WallMicros())});
  });
  admin.Handle("GET", "/metrics", [parts](const auto&, const auto& reply) {
    std::vector<MetricSample> samples;
    parts.membership.Collect(samples);
    parts.plane.Collect(samples);
    parts.agent.Collect(samples);
    parts.burn.Collect(samples);
    samples.push_back({"ibis_log_dropped_lines_total",
                       {},
                       static_cast<double>(DroppedLogLines()),
                       true});
    reply({200, kMetricsText, observe::RenderMetrics(samples)});
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
    case config::ChoicePolicy::kExpectedValue:
      return policy::ChoiceKind::kExpectedValue;
  }
  return policy::ChoiceKind::kWeighed;
}

}  // namespace ibisvalve::node
