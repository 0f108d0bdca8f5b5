#include "dataplane/plane_pages.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

namespace ibisvalve::dataplane {
namespace {

using nlohmann::json;

constexpr uint32_t kMaxSlots = 100'000;

std::optional<world::TargetState> ParseState(const std::string& name) {
  for (const world::TargetState state :
       {world::TargetState::kReady, world::TargetState::kDraining,
        world::TargetState::kStarting}) {
    if (world::ToString(state) == name) {
      return state;
    }
  }
  return std::nullopt;
}

std::optional<Digest> ParseDigest(const std::string& text) {
  uint64_t value = 0;
  const char* end = text.data() + text.size();
  constexpr int kHexadecimal = 16;
  const auto [stop, error] =
      std::from_chars(text.data(), end, value, kHexadecimal);
  if (text.empty() || error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return Digest(value);
}

std::string QuarantinePage(const std::vector<policy::QuarantineEntry>& entries,
                           Time now) {
  json list = json::array();
  for (const policy::QuarantineEntry& entry : entries) {
    const bool resource = entry.scope == policy::QuarantineScope::kResource;
    list.push_back(
        {{"fingerprint", ToHex(entry.fingerprint)},
         {"scope", resource ? "resource" : "request"},
         {"crashes", entry.crashes},
         {"seconds_left",
          std::chrono::duration_cast<std::chrono::seconds>(entry.until - now)
              .count()}});
  }
  return json{{"quarantined", list}}.dump();
}

net::AdminResponse ErrorPage(int status, const std::string& error) {
  return {status, "application/json", json{{"error", error}}.dump()};
}

}  // namespace

std::string ToJson(const PlaneStatus& status) {
  constexpr double kPermille = 1000.0;
  const wire::LoadHint& hint = status.gate_hint;
  return json{
      {"target", world::ToString(status.target)},
      {"slots", status.slots},
      {"draining", status.draining},
      {"gate",
       {{"in_flight", status.gate_in_flight},
        {"running", hint.in_flight},
        {"queued", hint.queued},
        {"limit", hint.limit},
        {"service_us", hint.mean_service_time_us},
        {"failures", hint.error_permille / kPermille}}},
      {"ingress",
       {{"in_flight", status.ingress_in_flight}, {"links", status.links}}},
      {"body_memory",
       {{"used", status.memory_used}, {"limit", status.memory_limit}}}}
      .dump();
}

TargetAnnouncement ParseAnnouncement(const std::string& text) {
  const json parsed = json::parse(text, nullptr, false);
  if (!parsed.is_object()) {
    throw InvalidInput(
        {{{}, "is no JSON object", R"(write {"state":"ready"})"}});
  }
  TargetAnnouncement announcement;
  std::vector<Finding> findings;
  const auto state = parsed.find("state");
  const auto parsed_state = state != parsed.end() && state->is_string()
                                ? ParseState(state->get<std::string>())
                                : std::nullopt;
  if (parsed_state) {
    announcement.state = *parsed_state;
  } else {
    findings.push_back({{"", 0, 0, "state"},
                        "is no state of a target",
                        "write ready, draining or starting"});
  }
  const auto slots = parsed.find("slots");
  if (slots != parsed.end()) {
    if (slots->is_number_unsigned() && slots->get<uint64_t>() <= kMaxSlots) {
      announcement.slots = slots->get<uint32_t>();
    } else {
      findings.push_back({{"", 0, 0, "slots"},
                          "is no number of slots",
                          "write a whole number, 0 for that of the settings"});
    }
  }
  if (!findings.empty()) {
    throw InvalidInput(findings);
  }
  return announcement;
}

void AddPages(net::AdminServer& admin, const PageActions& actions) {
  const auto drain = [actions](bool draining) {
    return [actions, draining](const net::AdminRequest&,
                               const net::AdminServer::Reply& reply) {
      actions.set_draining(draining);
      reply({200, "application/json", actions.status()});
    };
  };
  admin.Handle("POST", "/drain", drain(true));
  admin.Handle("POST", "/undrain", drain(false));
  admin.Handle("GET", "/quarantine",
               [actions](const net::AdminRequest&,
                         const net::AdminServer::Reply& reply) {
                 reply({200, "application/json",
                        QuarantinePage(actions.quarantined(), actions.now())});
               });
  admin.Handle(
      "POST", "/quarantine/lift",
      [actions](const net::AdminRequest& request,
                const net::AdminServer::Reply& reply) {
        const auto parameter = request.query.find("fingerprint");
        const auto fingerprint = parameter == request.query.end()
                                     ? std::nullopt
                                     : ParseDigest(parameter->second);
        if (!fingerprint) {
          reply(ErrorPage(
              400,
              "fingerprint is not a hexadecimal number of up to 16 digits"));
          return;
        }
        const bool lifted = actions.lift(*fingerprint);
        reply({200, "application/json", json{{"lifted", lifted}}.dump()});
      });
  admin.Handle("POST", "/announce",
               [actions](const net::AdminRequest& request,
                         const net::AdminServer::Reply& reply) {
                 try {
                   actions.announce(ParseAnnouncement(request.body));
                 } catch (const InvalidInput& error) {
                   reply(ErrorPage(400, error.what()));
                   return;
                 }
                 reply({200, "application/json", actions.status()});
               });
}

}  // namespace ibisvalve::dataplane
