#pragma once

#include <vector>

#include "config/yaml_document.h"
#include "world/world.h"

namespace ibisvalve::config {

/// Parses one item of the `services` list. Reports invalid and contradictory
/// keys to the findings of `value`. `zones` lists the zones of the fleet.
world::Service ParseService(const YamlValue& value,
                            const std::vector<ZoneName>& zones);

/// Reports at `value` that `zone` is not one of `zones`, and suggests the
/// nearest of them.
void ReportUnknownZone(const YamlValue& value,
                       const ZoneName& zone,
                       const std::vector<ZoneName>& zones);

}  // namespace ibisvalve::config
