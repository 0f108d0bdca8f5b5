#include "control/zone_pages.h"

#include <nlohmann/json.hpp>
#include <string>

#include "control/events.h"
#include "control/known_index.h"

namespace ibisvalve::control {
namespace {

using Json = nlohmann::json;

constexpr char kListPath[] = "/zones";
constexpr char kEvacuatePath[] = "/zones/evacuate";
constexpr char kRestorePath[] = "/zones/restore";
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

net::AdminResponse Respond(int status, const Json& json) {
  return {status, "application/json",
          json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n"};
}

}  // namespace

bool ZonePages::Serves(const std::string& path) {
  return path == kListPath || path == kEvacuatePath || path == kRestorePath;
}

void ZonePages::Handle(const net::AdminRequest& request, const Done& done) {
  // The state must include every order that was acknowledged.
  driver_.Read([this, request, done](bool confirmed) {
    if (!confirmed) {
      done(std::nullopt);
      return;
    }
    if (request.path == kListPath) {
      done(List());
      return;
    }
    const auto zone = request.query.find("zone");
    if (request.method != "POST" || zone == request.query.end()) {
      done(
          Respond(kBadRequest, {{"error", "POST with zone=ZONE is required"}}));
    } else if (!KnownZones().contains(ZoneName(zone->second))) {
      done(Respond(kNotFound, {{"error", "no zone is named " + zone->second}}));
    } else {
      Order({ZoneName(zone->second), request.path == kEvacuatePath,
             KnownIndexOf(request)},
            done);
    }
  });
}

void ZonePages::Order(const OrderZone& order, const Done& done) {
  const bool changes = driver_.state().zones().evacuated().contains(
                           order.zone) != order.evacuated;
  if (changes) {
    LogEvent(kZoneOrdered, {{"zone", order.zone.value},
                            {"evacuated", order.evacuated ? "yes" : "no"}});
  }
  driver_.Propose(order, [this, order,
                          done](const std::optional<CommandResult>& result) {
    if (!result) {
      done(std::nullopt);
    } else if (std::get<ZoneOrderResult>(*result) ==
               ZoneOrderResult::kSuperseded) {
      LogEvent(kZoneOrderSuperseded,
               {{"zone", order.zone.value},
                {"evacuated", order.evacuated ? "yes" : "no"},
                {"known", order.known}});
      done(Respond(kUnavailable,
                   {{"error", "another order about zone " + order.zone.value +
                                  " came in between; nothing was carried out, "
                                  "send this one again if it still holds"}}));
    } else {
      AwaitNodes(order, done);
    }
  });
}

void ZonePages::AwaitNodes(const OrderZone& order, const Done& done) {
  const uint64_t version = driver_.state().zones().version();
  const bool all_leases = !terms_.Active().activate_immediately;
  coordinator_.AwaitZones(
      version, all_leases, [order, version, done](bool leads) {
        if (!leads) {
          done(std::nullopt);
          return;
        }
        LogEvent(kZoneOrderAnswered,
                 {{"zone", order.zone.value},
                  {"evacuated", order.evacuated ? "yes" : "no"},
                  {"version", version}});
        done(Respond(kOk, {{"zone", order.zone.value},
                           {"evacuated", order.evacuated},
                           {"version", version}}));
      });
}

net::AdminResponse ZonePages::List() {
  Json zones = Json::array();
  const std::set<ZoneName>& evacuated = driver_.state().zones().evacuated();
  std::set<ZoneName> known = KnownZones();
  known.insert(evacuated.begin(), evacuated.end());
  for (const ZoneName& zone : known) {
    zones.push_back(
        {{"zone", zone.value}, {"evacuated", evacuated.contains(zone)}});
  }
  return Respond(
      kOk, {{"version", driver_.state().zones().version()}, {"zones", zones}});
}

std::set<ZoneName> ZonePages::KnownZones() {
  std::set<ZoneName> known(configured_.begin(), configured_.end());
  const std::vector<ZoneName>& named = terms_.Active().zones;
  known.insert(named.begin(), named.end());
  for (const auto& [key, session] : coordinator_.tracker().sessions()) {
    known.insert(session.node.location.zone);
  }
  return known;
}

}  // namespace ibisvalve::control
