#include "config/workspace_parser.h"

#include <algorithm>
#include <optional>

#include "config/converters.h"

namespace ibisvalve::config {
namespace {

constexpr size_t kMinKeyBytes = 8;
constexpr size_t kMaxKeyBytes = 255;
constexpr uint32_t kMaxPriority = 100;
constexpr double kMinRate = 0.001;  // requests a second
constexpr double kMaxRate = 1e6;

// Converter for keys: printable ASCII without spaces, as they travel in a
// header. A finding does not repeat the value, because it is secret.
std::optional<std::string> SecretKey(const YamlValue& value) {
  const std::string expected = std::to_string(kMinKeyBytes) + " to " +
                               std::to_string(kMaxKeyBytes) +
                               " printable ASCII characters without spaces";
  std::optional<std::string> key = value.Scalar(expected);
  if (!key) {
    return std::nullopt;
  }
  const bool printable = std::all_of(key->begin(), key->end(), [](char letter) {
    return letter > ' ' && letter < '\x7f';
  });
  if (!printable || key->size() < kMinKeyBytes || key->size() > kMaxKeyBytes) {
    value.Report("the key has a wrong length or character",
                 "write " + expected);
    return std::nullopt;
  }
  return key;
}

}  // namespace

world::Workspace WorkspaceParser::Parse(const YamlValue& value) {
  YamlMap map(value);
  world::Workspace workspace;
  if (!map.valid()) {
    return workspace;
  }
  map.Require("name", "name: franchise-north", NameText(), workspace.name);
  if (!workspace.name.empty() && !names_.insert(workspace.name).second) {
    map.ReportAt("name", "another workspace already has this name",
                 "give each workspace its own name");
  }
  ReadKeys(map, workspace);
  uint32_t priority = 0;
  if (map.Read("priority", IntegerBetween(0, kMaxPriority), priority)) {
    workspace.priority = priority;
  }
  map.ReadMap("quota", [&](YamlMap& quota) { ReadQuota(quota, workspace); });
  ReadRegions(map, workspace);
  map.ReportUnknownKeys();
  return workspace;
}

void WorkspaceParser::ReadKeys(YamlMap& map, world::Workspace& workspace) {
  map.ReadList("keys", true, "keys: [KEY]", [&](const YamlValue& item) {
    const std::optional<std::string> key = SecretKey(item);
    if (!key) {
      return;
    }
    const auto [known, added] = places_.emplace(*key, item.path());
    if (!added) {
      item.Report("the key is already listed at " + known->second,
                  "give each workspace its own keys");
      return;
    }
    workspace.keys.push_back(*key);
  });
}

void WorkspaceParser::ReadQuota(YamlMap& map, world::Workspace& workspace) {
  world::Quota quota;
  map.Require("per_second", "per_second: 50", NumberBetween(kMinRate, kMaxRate),
              quota.per_second);
  map.Require("burst", "burst: 100", NumberBetween(1, kMaxRate), quota.burst);
  workspace.quota = quota;
}

void WorkspaceParser::ReadRegions(YamlMap& map, world::Workspace& workspace) {
  if (map.Find("regions")) {
    workspace.regions.emplace();
  }
  map.ReadList("regions", false, "", [&](const YamlValue& item) {
    const std::optional<RegionName> name = Name<RegionName>()(item);
    if (!name) {
      return;
    }
    const bool known = std::any_of(
        regions_.begin(), regions_.end(),
        [&](const world::Region& region) { return region.name == *name; });
    if (!known) {
      item.Report("the file has no region with this name",
                  "write the name of one of its regions");
      return;
    }
    workspace.regions->push_back(*name);
  });
}

}  // namespace ibisvalve::config
