#pragma once

#include <vector>

#include "config/yaml_document.h"
#include "world/world.h"

namespace ibisvalve::config {

/// Parses one item of `services`. Faults, also contradictions within the
/// service, go to the findings of `value`. `zones` are those of the fleet.
world::Service ParseService(const YamlValue& value,
                            const std::vector<ZoneName>& zones);

/// Reports that `zone`, which `value` names, is none of `zones`.
void ReportUnknownZone(const YamlValue& value,
                       const ZoneName& zone,
                       const std::vector<ZoneName>& zones);

}  // namespace ibisvalve::config
