#include <algorithm>
#include <chrono>
#include <set>

#include "config/config.h"
#include "config/converters.h"
#include "config/service_parser.h"
#include "config/workspace_parser.h"

namespace ibisvalve::config {
namespace {

using std::chrono::seconds;

constexpr Duration kMaxLinkDelay = seconds(1);
constexpr Duration kMinLease = seconds(1);
// A new configuration takes effect only after the leases of unreachable nodes
// have expired, and has to be in force or withdrawn within 19 s.
constexpr Duration kMaxLease = seconds(15);

// Parses a fleet configuration, with one method for each kind of section.
class FleetParser {
 public:
  explicit FleetParser(const YamlValue& document) : map_(document) {}

  world::Fleet Parse();

 private:
  void ReadVersion();
  void ReadRegion(const YamlValue& value);
  void ReadZone(const YamlValue& value, world::Region& region);
  void ReadLink(const YamlValue& value);
  void ReadLinkEnd(YamlMap& map, const std::string& key, ZoneName& out);
  void ReadService(const YamlValue& value);
  void ReadControl(YamlMap& map);

  YamlMap map_;
  world::Fleet fleet_;
  std::vector<ZoneName> zones_;
  std::set<std::pair<ZoneName, ZoneName>> links_;
  std::set<ServiceName> services_;
};

world::Fleet FleetParser::Parse() {
  if (!map_.valid()) {
    return fleet_;
  }
  ReadVersion();
  map_.Require("name", "name: tavua", NameText(), fleet_.name);
  map_.ReadList("regions", true, "regions: [{name: viti-levu, zones: [suva]}]",
                [this](const YamlValue& item) { ReadRegion(item); });
  map_.ReadList("links", false, "",
                [this](const YamlValue& item) { ReadLink(item); });
  map_.ReadList("services", true, "services: [{name: ledger}]",
                [this](const YamlValue& item) { ReadService(item); });
  WorkspaceParser workspaces(fleet_.regions);
  if (map_.Find("workspaces")) {
    fleet_.workspaces.emplace();
  }
  map_.ReadList("workspaces", false, "", [&](const YamlValue& item) {
    fleet_.workspaces->push_back(workspaces.Parse(item));
  });
  map_.ReadMap("control", [this](YamlMap& map) { ReadControl(map); });
  map_.ReportUnknownKeys();
  return fleet_;
}

void FleetParser::ReadVersion() {
  uint32_t version = 0;
  map_.Require("ibisvalve", "ibisvalve: 1", IntegerBetween(1, 1), version);
}

void FleetParser::ReadRegion(const YamlValue& value) {
  YamlMap map(value);
  if (!map.valid()) {
    return;
  }
  world::Region region;
  map.Require("name", "name: viti-levu", Name<RegionName>(), region.name);
  const bool twice =
      std::any_of(fleet_.regions.begin(), fleet_.regions.end(),
                  [&](const world::Region& other) {
                    return !region.name.empty() && other.name == region.name;
                  });
  if (twice) {
    map.ReportAt("name", "another region already has this name",
                 "give each region its own name");
  }
  map.ReadList("zones", true, "zones: [suva, nadi]",
               [&](const YamlValue& item) { ReadZone(item, region); });
  map.ReportUnknownKeys();
  fleet_.regions.push_back(region);
}

void FleetParser::ReadZone(const YamlValue& value, world::Region& region) {
  const std::optional<ZoneName> zone = Name<ZoneName>()(value);
  if (!zone) {
    return;
  }
  if (std::find(zones_.begin(), zones_.end(), *zone) != zones_.end()) {
    value.Report("another zone already has this name",
                 "give each zone of the fleet its own name");
    return;
  }
  zones_.push_back(*zone);
  region.zones.push_back(*zone);
}

void FleetParser::ReadLink(const YamlValue& value) {
  YamlMap map(value);
  if (!map.valid()) {
    return;
  }
  world::Link link;
  ReadLinkEnd(map, "from", link.from);
  ReadLinkEnd(map, "to", link.to);
  map.Require("one_way", "one_way: 1ms",
              DurationBetween(Duration(0), kMaxLinkDelay), link.one_way);
  const bool both = !link.from.empty() && !link.to.empty();
  if (both && link.from == link.to) {
    map.ReportAt("to", "the link connects a zone to itself",
                 "name two different zones");
  } else if (both && !links_.insert(std::minmax(link.from, link.to)).second) {
    map.ReportAt("", "a link between these zones is already defined",
                 "remove one of them; a link applies in both directions");
  }
  map.ReportUnknownKeys();
  fleet_.links.push_back(link);
}

void FleetParser::ReadLinkEnd(YamlMap& map,
                              const std::string& key,
                              ZoneName& out) {
  if (!map.Require(key, key + ": suva", Name<ZoneName>(), out)) {
    return;
  }
  if (std::find(zones_.begin(), zones_.end(), out) == zones_.end()) {
    ReportUnknownZone(*map.Find(key), out, zones_);
  }
}

void FleetParser::ReadService(const YamlValue& value) {
  const world::Service service = ParseService(value, zones_);
  if (!service.name.empty() && !services_.insert(service.name).second) {
    value.Report(
        "the service name " + service.name.value + " is already in use",
        "give each service its own name");
  }
  fleet_.services.push_back(service);
}

void FleetParser::ReadControl(YamlMap& map) {
  map.Read("lease", DurationBetween(kMinLease, kMaxLease),
           fleet_.control.lease);
  map.Read("isolated",
           OneOf<world::IsolatedPolicy>(
               {{"refuse", world::IsolatedPolicy::kRefuse},
                {"serve-reads", world::IsolatedPolicy::kServeReads}}),
           fleet_.control.isolated);
}

}  // namespace

world::Fleet ParseFleet(const std::string& text, const std::string& file) {
  FindingList findings(file);
  world::Fleet fleet;
  if (const auto document = LoadDocument(text, findings)) {
    fleet = FleetParser(*document).Parse();
  }
  findings.ThrowIfAny();
  return fleet;
}

}  // namespace ibisvalve::config
