#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "config/yaml_document.h"
#include "world/world.h"

namespace ibisvalve::config {

/// Parses the items of the `workspaces` list. Findings never contain a key.
class WorkspaceParser {
 public:
  /// `regions` lists the regions of the fleet and must outlive the parser.
  explicit WorkspaceParser(const std::vector<world::Region>& regions)
      : regions_(regions) {}

  /// Parses one item. Reports invalid values, and names and keys that an
  /// earlier item has already, to the findings of `value`.
  world::Workspace Parse(const YamlValue& value);

 private:
  void ReadKeys(YamlMap& map, world::Workspace& workspace);
  void ReadQuota(YamlMap& map, world::Workspace& workspace);
  void ReadRegions(YamlMap& map, world::Workspace& workspace);

  const std::vector<world::Region>& regions_;
  std::set<std::string> names_;
  std::map<std::string, std::string> places_;  // of each key
};

}  // namespace ibisvalve::config
