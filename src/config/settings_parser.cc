#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "config/config.h"
#include "config/converters.h"

namespace ibisvalve::config {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr uint32_t kMaxSlots = 10'000;
constexpr uint32_t kMaxCallerConnections = 100'000;
constexpr uint64_t kMinBodyMemory = 1 << 20;
constexpr uint64_t kMaxBodyMemory = 1 << 30;

// Returns a converter for addresses that are announced to other processes.
// Rejects the wildcard addresses, to which those processes cannot connect.
Converter<world::Endpoint> AnnouncedAddress() {
  return [address = Address(false)](
             const YamlValue& value) -> std::optional<world::Endpoint> {
    std::optional<world::Endpoint> endpoint = address(value);
    if (endpoint && (endpoint->ip == "0.0.0.0" || endpoint->ip == "::")) {
      value.Report(endpoint->ip + " cannot be announced to other processes",
                   "write the IP address of this host");
      return std::nullopt;
    }
    return endpoint;
  };
}

// Parses the settings of a daemon, with one method for each section or role.
class SettingsParser {
 public:
  explicit SettingsParser(const YamlValue& document) : map_(document) {}

  Settings Parse();

 private:
  bool ReadRole();
  void ReadNode();
  void ReadKeeper();
  void ReadTarget(YamlMap& map);
  void ReadPolicy();
  void ReadLimits(YamlMap& map);
  void ReadRetries(YamlMap& map);
  void ReadGroup(YamlMap& map);
  void ReadPortsOfPeers(YamlMap& map);
  void ReadAddresses(const std::string& key,
                     bool required,
                     std::vector<world::Endpoint>& out);
  void RequireAnnouncedAddress(const std::string& key,
                               const std::string& example,
                               world::Endpoint& out);
  void RejectKeys(const std::vector<std::string>& keys,
                  const std::string& role);
  void CheckListenerAddresses();

  YamlMap map_;
  Settings settings_;
};

Settings SettingsParser::Parse() {
  if (!map_.valid()) {
    return settings_;
  }
  settings_.admin = world::Endpoint{"127.0.0.1", 0};
  map_.Require("id", "id: suva-1", Name<NodeId>(), settings_.id);
  const bool role_known = ReadRole();
  map_.Require("region", "region: viti-levu", Name<RegionName>(),
               settings_.location.region);
  map_.Require("zone", "zone: suva", Name<ZoneName>(), settings_.location.zone);
  map_.Read("admin", AnnouncedAddress(), settings_.admin);
  ReadAddresses("keepers", true, settings_.keepers);
  ReadAddresses("seeds", false, settings_.seeds);
  map_.ReadMap("ports_of_peers",
               [this](YamlMap& map) { ReadPortsOfPeers(map); });
  // The role decides which of the other keys are allowed.
  if (role_known) {
    settings_.role == Role::kNode ? ReadNode() : ReadKeeper();
    CheckListenerAddresses();
    map_.ReportUnknownKeys();
  }
  return settings_;
}

bool SettingsParser::ReadRole() {
  return map_.Require(
      "role", "role: node",
      OneOf<Role>({{"node", Role::kNode}, {"keeper", Role::kKeeper}}),
      settings_.role);
}

void SettingsParser::ReadNode() {
  map_.Require("callers", "callers: 10.0.0.7:8000", Address(false),
               settings_.callers);
  RequireAnnouncedAddress("mesh", "mesh: 10.0.0.7:7000", settings_.mesh);
  RequireAnnouncedAddress("gossip", "gossip: 10.0.0.7:7000", settings_.gossip);
  map_.Read("reports", Boolean(), settings_.reports);
  map_.ReadMap("target", [this](YamlMap& map) { ReadTarget(map); });
  ReadPolicy();
  map_.ReadMap("limits", [this](YamlMap& map) { ReadLimits(map); });
  RejectKeys({"control", "data", "group", "zones"}, "node");
}

void SettingsParser::ReadKeeper() {
  RequireAnnouncedAddress("control", "control: 10.0.0.7:7100",
                          settings_.control);
  map_.Require("data", "data: /var/lib/ibisvalve", NonEmptyText(),
               settings_.data);
  map_.Read("gossip", AnnouncedAddress(), settings_.gossip);
  map_.ReadMap("group", [this](YamlMap& map) { ReadGroup(map); });
  map_.ReadList("zones", false, "", [this](const YamlValue& item) {
    if (const auto zone = Name<ZoneName>()(item)) {
      settings_.zones.push_back(*zone);
    }
  });
  RejectKeys({"callers", "mesh", "target", "policy", "limits", "reports"},
             "keeper");
}

void SettingsParser::ReadTarget(YamlMap& map) {
  TargetSettings target;
  map.Require("service", "service: bookdesk", Name<ServiceName>(),
              target.service);
  map.Require("endpoint", "endpoint: 127.0.0.1:9000", Address(true),
              target.endpoint);
  map.Require("slots", "slots: 20", IntegerBetween(1, kMaxSlots), target.slots);
  map.Read("health_path", UriPath(), target.health_path);
  map.Read("announces", Boolean(), target.announces);
  if (target.endpoint.port != 0 && target.endpoint == settings_.callers) {
    map.ReportAt("endpoint", "is this node's own address for callers",
                 "write the address of the target");
  }
  settings_.target = target;
}

void SettingsParser::ReadPolicy() {
  map_.Read(
      "policy",
      OneOf<ChoicePolicy>({{"weighed", ChoicePolicy::kWeighed},
                           {"random", ChoicePolicy::kRandom},
                           {"round-robin", ChoicePolicy::kRoundRobin},
                           {"least-local", ChoicePolicy::kLeastLocal},
                           {"two-stale", ChoicePolicy::kTwoStale},
                           {"expected-value", ChoicePolicy::kExpectedValue}}),
      settings_.policy);
}

void SettingsParser::ReadLimits(YamlMap& map) {
  ProcessLimits& limits = settings_.limits;
  map.Read("body_memory", SizeBetween(kMinBodyMemory, kMaxBodyMemory),
           limits.body_memory);
  map.Read("caller_connections", IntegerBetween(1, kMaxCallerConnections),
           limits.caller_connections);
  map.Read("link_silence", DurationBetween(milliseconds(20), seconds(10)),
           limits.link_silence);
  constexpr double kMaxLinkMbps = 1'000'000;
  map.Read("link_mbps", NumberBetween(0, kMaxLinkMbps), limits.link_mbps);
  map.Read("drain_limit", DurationBetween(seconds(1), minutes(60)),
           limits.drain_limit);
  map.Read("stop_linger", DurationBetween(seconds(0), minutes(60)),
           limits.stop_linger);
  map.ReadMap("retries", [this](YamlMap& retries) { ReadRetries(retries); });
}

void SettingsParser::ReadRetries(YamlMap& map) {
  constexpr double kMaxRetries = 100'000;
  ProcessLimits& limits = settings_.limits;
  map.Read("share", NumberBetween(0, 1), limits.retry_share);
  map.Read("burst", NumberBetween(0, kMaxRetries), limits.retry_burst);
  map.Read("per_second", NumberBetween(0, kMaxRetries),
           limits.retries_per_second);
}

void SettingsParser::ReadGroup(YamlMap& map) {
  constexpr uint32_t kMaxLostDisks = 8;
  KeeperGroup& group = settings_.group;
  map.Read("found", Boolean(), group.found);
  map.Read("grow", Boolean(), group.grow);
  map.Read("election", DurationBetween(milliseconds(100), seconds(10)),
           group.election);
  map.Read("bears_lost_disks", IntegerBetween(0, kMaxLostDisks),
           group.tolerated_disk_losses);
}

// Replaces the ports of the listed peers by those given here, so that a list
// may be written for its hosts alone.
void SettingsParser::ReadPortsOfPeers(YamlMap& map) {
  constexpr uint32_t kMaxPort = 65535;
  const auto replace = [&](const std::string& key,
                           std::vector<world::Endpoint>& peers) {
    uint32_t port = 0;
    if (map.Read(key, IntegerBetween(1, kMaxPort), port)) {
      for (world::Endpoint& peer : peers) {
        peer.port = static_cast<uint16_t>(port);
      }
    }
  };
  replace("keepers", settings_.keepers);
  replace("seeds", settings_.seeds);
}

void SettingsParser::ReadAddresses(const std::string& key,
                                   bool required,
                                   std::vector<world::Endpoint>& out) {
  map_.ReadList(
      key, required, key + ": [10.0.0.7:7000]", [&](const YamlValue& item) {
        const auto endpoint = Address(true)(item);
        if (!endpoint) {
          return;
        }
        if (std::find(out.begin(), out.end(), *endpoint) != out.end()) {
          item.Report("the address is listed twice", "remove one of them");
          return;
        }
        out.push_back(*endpoint);
      });
}

void SettingsParser::RequireAnnouncedAddress(const std::string& key,
                                             const std::string& example,
                                             world::Endpoint& out) {
  map_.Require(key, example, AnnouncedAddress(), out);
}

void SettingsParser::RejectKeys(const std::vector<std::string>& keys,
                                const std::string& role) {
  for (const std::string& key : keys) {
    if (map_.Find(key)) {
      map_.ReportAt(key, "is not allowed for a " + role, "remove it");
    }
  }
}

void SettingsParser::CheckListenerAddresses() {
  // Gossip uses UDP, so it may share a port number with the TCP listeners.
  const std::vector<std::pair<std::string, const world::Endpoint*>> listeners =
      {{"callers", &settings_.callers},
       {"mesh", &settings_.mesh},
       {"admin", &settings_.admin},
       {"control", &settings_.control}};
  for (size_t later = 1; later < listeners.size(); ++later) {
    for (size_t earlier = 0; earlier < later; ++earlier) {
      const world::Endpoint& endpoint = *listeners[later].second;
      if (endpoint.port != 0 && endpoint == *listeners[earlier].second) {
        map_.ReportAt(
            listeners[later].first,
            "is the same address as \"" + listeners[earlier].first + "\"",
            "give each listener its own port");
      }
    }
  }
}

}  // namespace

Settings ParseSettings(const std::string& text, const std::string& file) {
  FindingList findings(file);
  Settings settings;
  if (const auto document = LoadDocument(text, findings)) {
    settings = SettingsParser(*document).Parse();
  }
  findings.ThrowIfAny();
  return settings;
}

}  // namespace ibisvalve::config
